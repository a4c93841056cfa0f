package settings

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Bounds on settings. maxDuration bounds the drain notice and, in Forward, also
// the revocation time and the usage and retry windows. It exceeds the longest
// notice that the platform gives, which is a few minutes.
const (
	minDrainNotice = time.Second
	maxDuration    = 10 * time.Minute
	maxPrice       = 1e6
)

const nameRule = "1 to 63 of a-z, 0-9, . and -, starting and ending with a letter or digit"

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	logLevels     = []string{"debug", "info", "warn", "error"}
	routePolicies = []string{"combined", "affinity", "round-robin", "least-loaded"}
	movePolicies  = []string{"sequential", "fixed-steps"}
)

// Problem is an error in the value of one setting.
type Problem struct {
	// Flag is the name of the setting without dashes.
	Flag string
	// Message says what is wrong with the value.
	Message string
	// Allowed describes the valid values.
	Allowed string
}

// Error returns one line with the flag and its environment variable.
func (p Problem) Error() string {
	return fmt.Sprintf("--%s (%s): %s; allowed: %s", p.Flag, environmentVariable(p.Flag), p.Message, p.Allowed)
}

// Problems holds all errors in the settings.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// environmentVariable returns the name of the flag's environment variable, or an
// empty string if there is none.
func environmentVariable(flag string) string {
	for _, f := range append(reflect.VisibleFields(reflect.TypeFor[Settings]()), reflect.VisibleFields(reflect.TypeFor[Forward]())...) {
		if f.Tag.Get("long") == flag {
			return f.Tag.Get("env")
		}
	}
	return ""
}

type checker struct{ problems Problems }

func (c *checker) add(flag, message, allowed string) {
	c.problems = append(c.problems, Problem{flag, message, allowed})
}

// Check returns all errors in the settings as Problems.
func (s *Settings) Check() error {
	var c checker
	c.checkName("instance", s.Instance)
	c.checkName("region", s.Region)
	c.checkName("failure-domain", s.FailureDomain)
	c.checkAddresses(s)
	if s.DrainNotice < minDrainNotice || s.DrainNotice > maxDuration {
		c.add("drain-notice", fmt.Sprintf("%v is out of range", s.DrainNotice), fmt.Sprintf("%v to %v", minDrainNotice, maxDuration))
	}
	c.checkName("class", s.Class)
	if !(s.Price >= 0 && s.Price <= maxPrice) || math.Signbit(s.Price) {
		c.add("price", fmt.Sprintf("%v is out of range", s.Price), fmt.Sprintf("0 to %v", maxPrice))
	}
	c.checkTLSFiles(s)
	c.checkCount("memory-mb", int(s.MemoryMB), minMemoryMB, maxMemoryMB, true)
	c.checkConnections(&s.Connections)
	c.checkChoice("log-level", s.LogLevel, logLevels)
	c.checkChoice("route-policy", s.RoutePolicy, routePolicies)
	c.checkChoice("move-policy", s.MovePolicy, movePolicies)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

func (c *checker) checkChoice(flag, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.add(flag, fmt.Sprintf("%q is not valid", value), strings.Join(allowed, ", "))
	}
}

func (c *checker) checkName(flag, value string) {
	if value == "" {
		c.add(flag, "missing", nameRule)
	} else if !namePattern.MatchString(value) {
		c.add(flag, fmt.Sprintf("%.80q is not valid", value), nameRule)
	}
}

func (c *checker) checkAddresses(s *Settings) {
	flagByAddress := make(map[string]string)
	for _, a := range []struct {
		flag, value string
		anyPort     bool
	}{
		{"client-address", s.ClientAddress, true},
		{"peer-address", s.PeerAddress, true},
		{"operations-address", s.OperationsAddress, true},
		{"platform", s.Platform, false},
	} {
		if !c.checkAddress(a.flag, a.value, a.anyPort) || strings.HasSuffix(a.value, ":0") {
			continue
		}
		if first, ok := flagByAddress[a.value]; ok {
			c.add(a.flag, fmt.Sprintf("%q is also the value of --%s", a.value, first), "an address that no other flag has")
		}
		flagByAddress[a.value] = a.flag
	}
}

// checkAddress reports whether value is an IP address and port that others can
// connect to, and adds a problem if it is not.
func (c *checker) checkAddress(flag, value string, anyPort bool) bool {
	allowed := "IP:PORT with a specific IP address and a port from 1 to 65535"
	if anyPort {
		allowed = "IP:PORT with a specific IP address and a port from 0 to 65535"
	}
	if value == "" {
		c.add(flag, "missing", allowed)
		return false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Addr().IsUnspecified() || a.Port() == 0 && !anyPort {
		c.add(flag, fmt.Sprintf("%.80q is not valid", value), allowed)
		return false
	}
	return true
}

func (c *checker) checkTLSFiles(s *Settings) {
	if (s.Certificate == "") != (s.Key == "") {
		missing := "key"
		if s.Certificate == "" {
			missing = "certificate"
		}
		c.add(missing, "missing", "certificate and key together, or neither")
	}
	if s.PeerCA != "" && s.Certificate == "" {
		c.add("peer-ca", "set without a certificate", "together with --certificate and --key")
	}
	if s.PeerCA == "" && s.Certificate != "" {
		c.add("peer-ca", "missing", "a file, because --certificate is set")
	}
	readable := true
	for _, f := range []struct{ flag, path string }{{"certificate", s.Certificate}, {"key", s.Key}, {"peer-ca", s.PeerCA}} {
		if f.path == "" {
			continue
		}
		if _, err := os.ReadFile(f.path); err != nil {
			c.add(f.flag, err.Error(), "a readable file")
			readable = false
		}
	}
	if readable && s.Certificate != "" && s.Key != "" && s.PeerCA != "" {
		if _, _, err := s.TLS(); err != nil {
			c.add("certificate", err.Error(), "PEM files of a certificate, its key and the peers' authorities")
		}
	}
}
