package settings

import (
	"fmt"
	"time"
)

// Forward are the flags of wasabiworks forward; each has an environment
// variable, and a flag takes precedence over it.
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
	DrainNotice       time.Duration `long:"drain-notice" env:"WASABIWORKS_DRAIN_NOTICE" value-name:"DURATION" default:"25s" description:"time that requests in progress have to complete in a planned shutdown, 1s to 10m"`
	LogLevel          string        `long:"log-level" env:"WASABIWORKS_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
}

// minRevokeWithin leaves time for two watches of the store.
const minRevokeWithin = 2 * time.Second

// Check returns all errors in the settings as Problems.
func (s *Forward) Check() error {
	var c checker
	c.name("instance", s.Instance)
	c.name("failure-domain", s.FailureDomain)
	for _, a := range []struct {
		flag, value string
		anyPort     bool
	}{
		{"client-address", s.ClientAddress, true}, {"ready-address", s.ReadyAddress, true}, {"peer-address", s.PeerAddress, true},
		{"operations-address", s.OperationsAddress, true}, {"store", s.Store, false}, {"cloud", s.Cloud, false},
	} {
		c.address(a.flag, a.value, a.anyPort)
	}
	c.between("revoke-within", s.RevokeWithin, minRevokeWithin, maxDrainNotice)
	c.between("drain-notice", s.DrainNotice, minDrainNotice, maxDrainNotice)
	c.choice("log-level", s.LogLevel, levels)
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

// between checks a duration.
func (c *checker) between(flag string, d, least, most time.Duration) {
	if d < least || d > most {
		c.add(flag, fmt.Sprintf("%v is out of range", d), fmt.Sprintf("%v to %v", least, most))
	}
}
