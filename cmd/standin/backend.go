package main

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/bench/lifecycle"
	"wasabiworks.example/wasabiworks/internal/bench/service"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// reclaimedStatus is the exit status of a process whose instance was
// reclaimed.
const reclaimedStatus = 4

// instanceOptions are the flags of backend servers.
type instanceOptions struct {
	ID            string  `long:"id" env:"WASABIWORKS_STANDIN_ID" required:"true" description:"instance ID"`
	Entry         string  `long:"entry" env:"WASABIWORKS_STANDIN_ENTRY" required:"true" description:"catalogue entry that is served"`
	Platform      string  `long:"platform" env:"WASABIWORKS_STANDIN_PLATFORM" description:"address of the platform API; without it, the instance is not registered"`
	Region        string  `long:"region" env:"WASABIWORKS_STANDIN_REGION" default:"morava" description:"region of the instance"`
	FailureDomain string  `long:"failure-domain" env:"WASABIWORKS_STANDIN_FAILURE_DOMAIN" default:"brno-a" description:"failure domain of the instance"`
	Class         string  `long:"class" env:"WASABIWORKS_STANDIN_CLASS" default:"standard" description:"machine class"`
	Reclaimable   bool    `long:"reclaimable" env:"WASABIWORKS_STANDIN_RECLAIMABLE" description:"whether the instance can be reclaimed"`
	Price         float64 `long:"price" env:"WASABIWORKS_STANDIN_PRICE" default:"0.12" description:"price per hour"`
}

// accompany returns the registration of a backend server, or nil without a
// platform.
func (o instanceOptions) accompany(log *zap.Logger, kind string, leaving <-chan struct{}) func(context.Context, string) {
	if o.Platform == "" {
		return nil
	}
	return func(ctx context.Context, address string) {
		lifecycle.Run(ctx, lifecycle.Config{
			Instances: instances.New(instances.Config{Address: o.Platform}),
			Cloud:     cloud.New(cloud.Config{Address: o.Platform}),
			Instance: instances.Instance{
				ID: o.ID, Role: instances.RoleBackend, Entry: o.Entry, Kind: kind,
				Region: o.Region, FailureDomain: o.FailureDomain, Address: address,
				Class: o.Class, Reclaimable: o.Reclaimable, Price: o.Price,
			},
			Leaving: leaving,
			Reclaimed: func() {
				log.Info("instance is reclaimed")
				os.Exit(reclaimedStatus)
			},
		})
	}
}

func (o instanceOptions) logger(fake string) (*zap.Logger, error) {
	log, err := newLogger(fake)
	if err != nil {
		return nil, err
	}
	return log.With(zap.String("instance", o.ID), zap.String("failure-domain", o.FailureDomain)), nil
}

type engineCommand struct {
	serveOptions
	instanceOptions

	Versions       []string      `long:"version" env:"WASABIWORKS_STANDIN_VERSIONS" env-delim:"," description:"loaded version, can be repeated; none accepts any version"`
	Slots          int           `long:"slots" env:"WASABIWORKS_STANDIN_SLOTS" default:"16" description:"requests that run at once"`
	Queue          int           `long:"queue" env:"WASABIWORKS_STANDIN_QUEUE" default:"64" description:"requests that wait for a slot"`
	FirstToken     time.Duration `long:"first-token" env:"WASABIWORKS_STANDIN_FIRST_TOKEN" default:"20ms" description:"time to the first token"`
	PerPromptToken time.Duration `long:"per-prompt-token" env:"WASABIWORKS_STANDIN_PER_PROMPT_TOKEN" default:"0s" description:"time per recomputed token, added to the first token's"`
	BetweenTokens  time.Duration `long:"between-tokens" env:"WASABIWORKS_STANDIN_BETWEEN_TOKENS" default:"5ms" description:"time between two tokens"`
	CacheBlocks    int           `long:"cache-blocks" env:"WASABIWORKS_STANDIN_CACHE_BLOCKS" default:"4096" description:"prefix cache in blocks of 16 words"`
	LoadLag        time.Duration `long:"load-lag" env:"WASABIWORKS_STANDIN_LOAD_LAG" default:"200ms" description:"age of load reports"`
	EventLag       time.Duration `long:"event-lag" env:"WASABIWORKS_STANDIN_EVENT_LAG" default:"500ms" description:"age of cache events"`
	EventGap       int           `long:"event-gap" env:"WASABIWORKS_STANDIN_EVENT_GAP" default:"17" description:"every so many cache events one is lost, 0 for none"`
	VersionDelay   time.Duration `long:"version-delay" env:"WASABIWORKS_STANDIN_VERSION_DELAY" default:"500ms" description:"time to load a version"`
	ChecksFence    bool          `long:"checks-fence" env:"WASABIWORKS_STANDIN_CHECKS_FENCE" description:"reject commands with a stale fencing token"`
	Crashes        int           `long:"crashes" env:"WASABIWORKS_STANDIN_CRASHES" default:"0" description:"crashes before this process"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	log, err := c.logger("engine")
	if err != nil {
		return err
	}
	s := engine.New(engine.Config{
		Entry:          c.Entry,
		Versions:       c.Versions,
		Slots:          c.Slots,
		Queue:          c.Queue,
		FirstToken:     c.FirstToken,
		PerPromptToken: c.PerPromptToken,
		BetweenTokens:  c.BetweenTokens,
		CacheBlocks:    c.CacheBlocks,
		LoadLag:        c.LoadLag,
		EventLag:       c.EventLag,
		EventGap:       c.EventGap,
		VersionDelay:   c.VersionDelay,
		ChecksFence:    c.ChecksFence,
		Crashes:        c.Crashes,
	})
	return c.serve(log, server{handler: s, leave: s.Leave, accompany: c.accompany(log, instances.KindLanguage, s.Left())})
}

type serviceCommand struct {
	serveOptions
	instanceOptions

	Slots int           `long:"slots" env:"WASABIWORKS_STANDIN_SLOTS" default:"64" description:"requests that run at once"`
	Delay time.Duration `long:"delay" env:"WASABIWORKS_STANDIN_DELAY" default:"5ms" description:"duration of a run"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	log, err := c.logger("service")
	if err != nil {
		return err
	}
	s := service.New(service.Config{Slots: c.Slots, Delay: c.Delay})
	return c.serve(log, server{handler: s, leave: s.Leave, accompany: c.accompany(log, instances.KindService, s.Left())})
}
