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
	// At is when the fault is injected, counted from the start.
	At time.Duration
	// Address is a fake's host and port, "platform", or the ID of an instance
	// in the instance list.
	Address string
	Fault   fault.Fault
	// For is how long the fault lasts, or the notice period of a reclaim; 0
	// leaves the end to the fake.
	For time.Duration
}

// ParseFault parses "AT ADDRESS KIND [target=T] [value=V] [version=V] [for=D]".
func ParseFault(s string) (Fault, error) {
	words := strings.Fields(s)
	if len(words) < 3 {
		return Fault{}, fmt.Errorf("fault %q: must be AT ADDRESS KIND [target=T] [value=V] [version=V] [for=D]", s)
	}
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Fault{}, fmt.Errorf("fault %q: %q must be a duration such as 5s", s, words[0])
	}
	f := Fault{At: at, Address: words[1], Fault: fault.Fault{Kind: words[2]}}
	for _, w := range words[3:] {
		if err := f.set(w); err != nil {
			return Fault{}, fmt.Errorf("fault %q: %w", s, err)
		}
	}
	return f, nil
}

func (f *Fault) set(option string) (err error) {
	name, value, _ := strings.Cut(option, "=")
	switch name {
	case "target":
		f.Fault.Target = value
	case "value":
		f.Fault.Value = value
	case "version":
		f.Fault.Version = value
	case "for":
		if f.For, err = time.ParseDuration(value); err != nil || f.For <= 0 {
			return fmt.Errorf("%q must be a duration such as for=5s", option)
		}
	default:
		return fmt.Errorf("%q must be one of target, value, version, for", name)
	}
	return nil
}

// String returns the fault in the format of ParseFault.
func (f Fault) String() string {
	s := fmt.Sprintf("%v %s %s", f.At, f.Address, f.Fault.Kind)
	for _, o := range [][2]string{{"target", f.Fault.Target}, {"value", f.Fault.Value}, {"version", f.Fault.Version}} {
		if o[1] != "" {
			s += " " + o[0] + "=" + o[1]
		}
	}
	if f.For > 0 {
		s += fmt.Sprintf(" for=%v", f.For)
	}
	return s
}

// injectAll injects the faults at their times. When ctx has ended, those that
// are due are still injected.
func (r *runner) injectAll(ctx context.Context, start time.Time) {
	faults := slices.SortedFunc(slices.Values(r.config.Faults), func(a, b Fault) int { return int(a.At - b.At) })
	for _, f := range faults {
		if left := time.Until(start.Add(f.At)); left > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
		if err := r.inject(context.WithoutCancel(ctx), f); err != nil {
			r.recorder.faultFailed(f, err)
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
	if f.For > 0 {
		f.Fault.Until = time.Now().Add(f.For)
	}
	return fault.Post(ctx, address, f.Fault)
}

// resolve returns the host and port of a fake.
func (r *runner) resolve(ctx context.Context, address string) (string, error) {
	if strings.Contains(address, ":") {
		return address, nil
	}
	if r.config.Platform == "" {
		return "", errors.New("a platform must be given for a fault without a host and port")
	}
	if address == "platform" {
		return r.config.Platform, nil
	}
	all, err := r.client.balancer.list.List(ctx)
	if err != nil {
		return "", err
	}
	i := slices.IndexFunc(all, func(i instances.Instance) bool { return i.ID == address })
	if i < 0 {
		return "", fmt.Errorf("instance %s is not in the instance list", address)
	}
	return all[i].Address, nil
}
