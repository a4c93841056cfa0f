package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Forward holds the flags of wasabiworks forward. Each flag has an environment
// variable, over which the flag takes precedence.
type Forward struct {
	Instance          string        `long:"instance" env:"WASABIWORKS_INSTANCE" value-name:"ID" description:"instance id, unique in the deployment"`
	FailureDomain     string        `long:"failure-domain" env:"WASABIWORKS_FAILURE_DOMAIN" value-name:"NAME" description:"failure domain of the instance"`
	ClientAddress     string        `long:"client-address" env:"WASABIWORKS_CLIENT_ADDRESS" value-name:"IP:PORT" description:"address that clients connect to"`
	ReadyAddress      string        `long:"ready-address" env:"WASABIWORKS_READY_ADDRESS" value-name:"IP:PORT" description:"address at which the balancer asks whether the instance is ready"`
	PeerAddress       string        `long:"peer-address" env:"WASABIWORKS_PEER_ADDRESS" value-name:"IP:PORT" description:"address that other instances connect to"`
	OperationsAddress string        `long:"operations-address" env:"WASABIWORKS_OPERATIONS_ADDRESS" value-name:"IP:PORT" description:"address of /metrics"`
	Store             string        `long:"store" env:"WASABIWORKS_STORE" value-name:"IP:PORT" description:"address of the platform's key-value store"`
	Cloud             string        `long:"cloud" env:"WASABIWORKS_CLOUD" value-name:"IP:PORT" description:"address of the platform's cloud API"`
	RevokeWithin      time.Duration `long:"revoke-within" env:"WASABIWORKS_REVOKE_WITHIN" value-name:"DURATION" default:"5s" description:"time after which a removed key must not work anywhere, 2s to 10m"`
	UsageWindow       time.Duration `long:"usage-window" env:"WASABIWORKS_USAGE_WINDOW" value-name:"DURATION" default:"0s" description:"length of the windows in which usage is reported, up to 10m; 0 reports none"`
	Duties            string        `long:"duties" env:"WASABIWORKS_DUTIES" value-name:"NAMES" description:"duties of the fleet, separated by commas: metering reports usage, autoscale orders servers; others are ignored"`
	RetryRatio        float64       `long:"retry-ratio" env:"WASABIWORKS_RETRY_RATIO" value-name:"RATIO" default:"0.1" description:"repeated sends to a service for each request, over all instances, 0 to 1"`
	RetrySlack        float64       `long:"retry-slack" env:"WASABIWORKS_RETRY_SLACK" value-name:"COUNT" default:"20" description:"repeated sends to a service besides, in each retry window, over all instances"`
	RetryWindow       time.Duration `long:"retry-window" env:"WASABIWORKS_RETRY_WINDOW" value-name:"DURATION" default:"10s" description:"window of the retry slack, 1s to 10m"`
	AllowanceSlack    float64       `long:"allowance-slack" env:"WASABIWORKS_ALLOWANCE_SLACK" value-name:"UNITS" default:"0" description:"what a workspace may use beyond its allowance, over all instances"`
	DrainNotice       time.Duration `long:"drain-notice" env:"WASABIWORKS_DRAIN_NOTICE" value-name:"DURATION" default:"25s" description:"time that requests in progress have to complete in a planned shutdown, 1s to 10m"`
	MaxResponseBytes  int64         `long:"max-response-bytes" env:"WASABIWORKS_MAX_RESPONSE_BYTES" value-name:"BYTES" default:"4194304" description:"maximum size of a backend server's response that is not a stream, 65536 to 1073741824"`
	MemoryMB          int64         `long:"memory-mb" env:"WASABIWORKS_MEMORY_MB" value-name:"MB" default:"0" description:"memory that the instance may use, in millions of bytes, 64 to 1048576; of what is left after 24 MB for the program a sixth each is for requests and for the bodies of responses, a quarter for connections; 0 is unknown, and allows 32 MiB for each"`
	Cores             float64       `long:"cores" env:"WASABIWORKS_CORES" value-name:"CORES" default:"0" description:"processor time that the instance may use, in cores, up to 1024; instances with more of it do the fleet's work; 0 is unknown"`
	LogLevel          string        `long:"log-level" env:"WASABIWORKS_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	Connections
}

// minRevokeWithin leaves time for two watch calls to the store, each of which
// lasts up to 1 s if nothing changes.
const minRevokeWithin = 2 * time.Second

// maxSlack bounds the retry slack and the allowance slack.
const maxSlack = 1e12

// minMaxResponse and maxMaxResponse bound MaxResponseBytes.
const (
	minMaxResponse = 64 << 10
	maxMaxResponse = 1 << 30
)

// minMemoryMB and maxMemoryMB bound MemoryMB, unless it is 0.
const (
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
)

// bytesPerMB is the unit of MemoryMB.
const bytesPerMB = 1_000_000

// MemoryBytes returns the memory that the instance may use, in bytes, or 0 if it is
// unknown.
func (s *Forward) MemoryBytes() int64 { return s.MemoryMB * bytesPerMB }

// maxCores bounds Cores.
const maxCores = 1024

// HasDuty reports whether duty is one of the fleet's duties.
func (s *Forward) HasDuty(duty string) bool {
	return slices.Contains(strings.Split(s.Duties, ","), duty)
}

// Check returns all errors in the settings as Problems.
func (s *Forward) Check() error {
	var c checker
	c.checkName("instance", s.Instance)
	c.checkName("failure-domain", s.FailureDomain)
	for _, a := range []struct {
		flag, value string
		anyPort     bool
	}{
		{"client-address", s.ClientAddress, true}, {"ready-address", s.ReadyAddress, true}, {"peer-address", s.PeerAddress, true},
		{"operations-address", s.OperationsAddress, true}, {"store", s.Store, false}, {"cloud", s.Cloud, false},
	} {
		c.checkAddress(a.flag, a.value, a.anyPort)
	}
	c.checkDuration("revoke-within", s.RevokeWithin, minRevokeWithin, maxDuration)
	c.checkDuration("drain-notice", s.DrainNotice, minDrainNotice, maxDuration)
	c.checkDuration("usage-window", s.UsageWindow, 0, maxDuration)
	c.checkDuration("retry-window", s.RetryWindow, time.Second, maxDuration)
	if !(s.RetryRatio >= 0 && s.RetryRatio <= 1) {
		c.add("retry-ratio", fmt.Sprintf("%v is out of range", s.RetryRatio), "0 to 1")
	}
	if !(s.RetrySlack >= 0 && s.RetrySlack <= maxSlack) {
		c.add("retry-slack", fmt.Sprintf("%v is out of range", s.RetrySlack), fmt.Sprintf("0 to %v", maxSlack))
	}
	if !(s.AllowanceSlack >= 0 && s.AllowanceSlack <= maxSlack) {
		c.add("allowance-slack", fmt.Sprintf("%v is out of range", s.AllowanceSlack), fmt.Sprintf("0 to %v", maxSlack))
	}
	if s.MaxResponseBytes < minMaxResponse || s.MaxResponseBytes > maxMaxResponse {
		c.add("max-response-bytes", fmt.Sprintf("%d is out of range", s.MaxResponseBytes), fmt.Sprintf("%d to %d", minMaxResponse, maxMaxResponse))
	}
	c.checkCount("memory-mb", int(s.MemoryMB), minMemoryMB, maxMemoryMB, true)
	if !(s.Cores >= 0 && s.Cores <= maxCores) {
		c.add("cores", fmt.Sprintf("%v is out of range", s.Cores), fmt.Sprintf("0 to %v", maxCores))
	}
	c.checkConnections(&s.Connections)
	c.checkChoice("log-level", s.LogLevel, logLevels)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

// checkDuration adds a problem if d is out of range.
func (c *checker) checkDuration(flag string, d, minimum, maximum time.Duration) {
	if d < minimum || d > maximum {
		c.add(flag, fmt.Sprintf("%v is out of range", d), fmt.Sprintf("%v to %v", minimum, maximum))
	}
}
