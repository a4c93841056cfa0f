package load

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const faultTimeout = 5 * time.Second

// Fault is a fault that is injected into a fake during a run.
type Fault struct {
	// At is when the fault is injected, measured from the start of the run.
	At time.Duration
	// Address is the host and port of a fake, "platform", or the ID of an
	// instance in the instance list.
	Address string
	Fault   fault.Fault
	// Duration is how long the fault lasts, or the notice period of a reclaim.
	// With 0, the fake decides when the fault ends.
	Duration time.Duration
}

// ParseFault parses "AT ADDRESS KIND [target=T] [value=V] [version=V] [for=D]".
func ParseFault(s string) (Fault, error) {
	words := strings.Fields(s)
	if len(words) < 3 {
		return Fault{}, fmt.Errorf("parse %q: must be AT ADDRESS KIND [target=T] [value=V] [version=V] [for=D]", s)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Fault{}, fmt.Errorf("parse %q: %q must be a non-negative duration such as 5s", s, words[0])
	}
	f := Fault{At: at, Address: words[1], Fault: fault.Fault{Kind: words[2]}}
	for _, w := range words[3:] {
		if err := f.setOption(w); err != nil {
			return Fault{}, fmt.Errorf("parse %q: %w", s, err)
		}
	}
	return f, nil
}

// setOption parses one option, in the form NAME=VALUE.
func (f *Fault) setOption(option string) (err error) {
	name, value, _ := strings.Cut(option, "=")
	switch name {
	case "target":
		f.Fault.Target = value
	case "value":
		f.Fault.Value = value
	case "version":
		f.Fault.Version = value
	case "for":
		if f.Duration, err = time.ParseDuration(value); err != nil || f.Duration <= 0 {
			return fmt.Errorf("%q must be a positive duration such as for=5s", option)
		}
	default:
		return fmt.Errorf("%q must be one of target, value, version, for", name)
	}
	return nil
}

// String returns the fault in the format that ParseFault accepts.
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s %s", f.At, f.Address, f.Fault.Kind)
	for _, o := range [][2]string{{"target", f.Fault.Target}, {"value", f.Fault.Value}, {"version", f.Fault.Version}} {
		if o[1] != "" {
			s += " " + o[0] + "=" + o[1]
		}
	}
	if f.Duration > 0 {
		s += fmt.Sprintf(" for=%v", f.Duration)
	}
	return s
}

// injectAll injects each fault at its time. After ctx has ended, it injects only
// the faults that are already due.
func (r *runner) injectAll(ctx context.Context, start time.Time) {
	faults := slices.SortedFunc(slices.Values(r.config.Faults), func(a, b Fault) int { return int(a.At - b.At) })
	for _, f := range faults {
		if delay := time.Until(start.Add(f.At)); delay > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
		}
		if err := r.inject(context.WithoutCancel(ctx), f); err != nil {
			r.recorder.recordFaultError(f, err)
		}
	}
}

func (r *runner) inject(ctx context.Context, f Fault) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	address, err := r.resolve(ctx, f.Address)
	if err != nil {
		return err
	}
	if f.Duration > 0 {
		f.Fault.Until = time.Now().Add(f.Duration)
	}
	return fault.Post(ctx, address, f.Fault)
}

// resolve returns the host and port for the address of a fault.
func (r *runner) resolve(ctx context.Context, address string) (string, error) {
	if strings.Contains(address, ":") {
		return address, nil
	}
	if r.config.Platform == "" {
		return "", errors.New("fault address without a host and port requires a platform address")
	}
	if address == "platform" {
		return r.config.Platform, nil
	}
	all, err := r.client.balancer.instanceClient.List(ctx)
	if err != nil {
		return "", err
	}
	i := slices.IndexFunc(all, func(i instances.Instance) bool { return i.ID == address })
	if i < 0 {
		return "", fmt.Errorf("instance %s is not in the instance list", address)
	}
	return all[i].Address, nil
}
