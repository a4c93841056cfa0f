package settings

import (
	"time"
)

// Settings holds the flags of wasabiworks serve. Each flag has an environment
// variable, over which the flag takes precedence.
type Settings struct {
	Instance          string        `long:"instance" env:"WASABIWORKS_INSTANCE" value-name:"ID" description:"instance id, unique in the instance list"`
	Region            string        `long:"region" env:"WASABIWORKS_REGION" value-name:"NAME" description:"region of the instance"`
	FailureDomain     string        `long:"failure-domain" env:"WASABIWORKS_FAILURE_DOMAIN" value-name:"NAME" description:"failure domain of the instance"`
	ClientAddress     string        `long:"client-address" env:"WASABIWORKS_CLIENT_ADDRESS" value-name:"IP:PORT" description:"address that clients connect to; port 0 selects a free port"`
	PeerAddress       string        `long:"peer-address" env:"WASABIWORKS_PEER_ADDRESS" value-name:"IP:PORT" description:"address that other entry instances connect to; port 0 selects a free port"`
	OperationsAddress string        `long:"operations-address" env:"WASABIWORKS_OPERATIONS_ADDRESS" value-name:"IP:PORT" description:"address of /healthz, /readyz, /metrics and /status; port 0 selects a free port"`
	Platform          string        `long:"platform" env:"WASABIWORKS_PLATFORM" value-name:"IP:PORT" description:"address of the platform API"`
	DrainNotice       time.Duration `long:"drain-notice" env:"WASABIWORKS_DRAIN_NOTICE" value-name:"DURATION" default:"25s" description:"time that requests in progress have to complete in a planned shutdown, 1s to 10m"`
	Class             string        `long:"class" env:"WASABIWORKS_CLASS" value-name:"NAME" default:"small" description:"machine class of the instance, for the instance list"`
	Reclaimable       bool          `long:"reclaimable" env:"WASABIWORKS_RECLAIMABLE" description:"the platform may reclaim the instance"`
	Price             float64       `long:"price" env:"WASABIWORKS_PRICE" value-name:"PRICE" default:"0" description:"price of the instance per hour, in the currency of the instance list"`
	Certificate       string        `long:"certificate" env:"WASABIWORKS_CERTIFICATE" value-name:"FILE" description:"PEM certificate for clients and peers; without it connections are not encrypted"`
	Key               string        `long:"key" env:"WASABIWORKS_KEY" value-name:"FILE" description:"PEM private key of the certificate"`
	PeerCA            string        `long:"peer-ca" env:"WASABIWORKS_PEER_CA" value-name:"FILE" description:"PEM certificates of the authorities that sign the peers' certificates"`
	RoutePolicy       string        `long:"route-policy" env:"WASABIWORKS_ROUTE_POLICY" value-name:"POLICY" default:"combined" description:"choice of backend servers: combined, or the baselines affinity, round-robin and least-loaded"`
	MovePolicy        string        `long:"move-policy" env:"WASABIWORKS_MOVE_POLICY" value-name:"POLICY" default:"sequential" description:"decision on version moves: sequential, or the baseline fixed-steps; the same on all instances"`
	LogLevel          string        `long:"log-level" env:"WASABIWORKS_LOG_LEVEL" value-name:"LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	MemoryMB          int64         `long:"memory-mb" env:"WASABIWORKS_MEMORY_MB" value-name:"MB" default:"0" description:"memory that the instance may use, in millions of bytes, 64 to 1048576; of what is left after 24 MB for the program a sixth each is for requests and for the texts of responses, a quarter for connections; 0 is unknown, and allows 128 MiB for each of the first two"`
	Connections
}

// MemoryBytes returns the memory that the instance may use, in bytes, or 0 if it is
// unknown.
func (s *Settings) MemoryBytes() int64 { return s.MemoryMB * bytesPerMB }
