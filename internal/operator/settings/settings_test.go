package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
)

func validSettings() Settings {
	return Settings{
		Instance: "entry-1", Region: "morava", FailureDomain: "brno-a",
		ClientAddress: "127.0.0.1:8080", PeerAddress: "127.0.0.1:0", OperationsAddress: "127.0.0.1:0",
		Platform: "127.0.0.1:9000", DrainNotice: 25 * time.Second, Class: "small", LogLevel: "info", RoutePolicy: "combined", MovePolicy: "sequential",
		Connections: validConnections(),
	}
}

func validConnections() Connections {
	return Connections{MaxHeadBytes: 64 << 10, MaxHeadLines: 5500, HeadTimeout: 10 * time.Second, IdleTimeout: time.Minute, BodyStall: time.Minute, WriteStall: time.Minute}
}

// Guards against a process that starts with an invalid setting, and against
// reporting only the first of several errors.
func TestCheckReportsAllInvalidSettings(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Settings)
		want   []string // flags with a problem
	}{
		{"valid", func(*Settings) {}, nil},
		{"empty", func(s *Settings) { *s = Settings{} }, []string{"instance", "region", "failure-domain", "client-address", "peer-address", "operations-address", "platform", "drain-notice", "class", "max-head-bytes", "max-head-lines", "head-timeout", "idle-timeout", "body-stall", "write-stall", "log-level", "route-policy", "move-policy"}},
		{"invalid name", func(s *Settings) { s.Instance = "a b" }, []string{"instance"}},
		{"address without a port", func(s *Settings) { s.ClientAddress = "127.0.0.1" }, []string{"client-address"}},
		{"address that peers cannot reach", func(s *Settings) { s.PeerAddress = "0.0.0.0:80" }, []string{"peer-address"}},
		{"platform with port 0", func(s *Settings) { s.Platform = "127.0.0.1:0" }, []string{"platform"}},
		{"address used twice", func(s *Settings) { s.PeerAddress = s.ClientAddress }, []string{"peer-address"}},
		{"drain notice out of range", func(s *Settings) { s.DrainNotice = time.Hour }, []string{"drain-notice"}},
		{"negative price", func(s *Settings) { s.Price = -1 }, []string{"price"}},
		{"certificate without key and authorities", func(s *Settings) { s.Certificate = "check.go" }, []string{"key", "peer-ca"}},
		{"authorities without certificate", func(s *Settings) { s.PeerCA = "check.go" }, []string{"peer-ca"}},
		{"absent files", func(s *Settings) { s.Certificate, s.Key, s.PeerCA = "absent", "absent", "absent" }, []string{"certificate", "key", "peer-ca"}},
		{"not PEM", func(s *Settings) { s.Certificate, s.Key, s.PeerCA = "check.go", "check.go", "check.go" }, []string{"certificate"}},
		{"invalid policies", func(s *Settings) { s.RoutePolicy, s.MovePolicy = "random", "" }, []string{"route-policy", "move-policy"}},
		{"memory out of range", func(s *Settings) { s.MemoryMB = 63 }, []string{"memory-mb"}},
		{"limits of connections out of range", func(s *Settings) {
			s.MaxConnections, s.MaxConnectionsPerAddress, s.MaxHeadBytes, s.WriteStall = 15, -1, 0, time.Hour
		}, []string{"max-connections", "max-connections-per-address", "max-head-bytes", "write-stall"}},
		{"invalid log level", func(s *Settings) { s.LogLevel = "loud" }, []string{"log-level"}},
	}
	for _, tt := range tests {
		s := validSettings()
		tt.change(&s)
		var got []string
		if err := s.Check(); err != nil {
			for _, p := range err.(Problems) {
				got = append(got, p.Flag)
			}
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: Check reports %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a flag without an environment variable, and against a variable
// that takes precedence over its flag.
func TestFlagsAndVariables(t *testing.T) {
	is := is.New(t)
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		if f.Anonymous {
			continue // its fields are visible themselves
		}
		want := "WASABIWORKS_" + strings.ToUpper(strings.ReplaceAll(f.Tag.Get("long"), "-", "_"))
		is.Equal(f.Tag.Get("env"), want)
	}
	t.Setenv("WASABIWORKS_DRAIN_NOTICE", "30s")
	t.Setenv("WASABIWORKS_PRICE", "0.5")
	t.Setenv("WASABIWORKS_RECLAIMABLE", "true")
	var s Settings
	_, err := flags.NewParser(&s, flags.None).ParseArgs([]string{"--price", "0.25"})
	is.NoErr(err)
	is.Equal(s.DrainNotice, 30*time.Second)
	is.Equal(s.Price, 0.25)
	is.Equal(s.Reclaimable, true)
}

// Guards against documentation pages of the settings that differ from the flags.
func TestPageListsSettings(t *testing.T) {
	for name, settings := range map[string]reflect.Type{
		"settings.md": reflect.TypeFor[Settings](), "forward-settings.md": reflect.TypeFor[Forward](),
	} {
		page, err := os.ReadFile("../../../docs/operate/" + name)
		if err != nil {
			t.Fatal(err)
		}
		var got, want []string
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| `--") {
				got = append(got, line)
			}
		}
		for _, f := range reflect.VisibleFields(settings) {
			if f.Anonymous {
				continue // its fields are visible themselves
			}
			valueName, defaultValue := f.Tag.Get("value-name"), "none"
			if f.Type.Kind() == reflect.Bool {
				valueName, defaultValue = "switch", "off"
			}
			if d := f.Tag.Get("default"); d != "" {
				defaultValue = "`" + d + "`"
			}
			want = append(want, fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |", f.Tag.Get("long"), f.Tag.Get("env"), defaultValue, valueName, f.Tag.Get("description")))
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s has\n%s\nwant\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}
