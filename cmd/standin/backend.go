package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/lifecycle"
	"wasabiworks.example/wasabiworks/internal/bench/service"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// reclaimedStatus is the exit status of a process whose instance was reclaimed.
const reclaimedStatus = 4

// restartFailedStatus is the exit status of a process that could not restart
// after a crash. It equals the status with which an engine exits on a crash
// without --restart.
const restartFailedStatus = 3

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

	RunLog string `long:"run-log" env:"WASABIWORKS_STANDIN_RUN_LOG" description:"file that gets a line with the idempotency key or prompt hash at the start of each run; it outlasts a killed process"`

	Faults []string `long:"fault" env:"WASABIWORKS_STANDIN_FAULTS" env-delim:"," description:"fault from the start, as KIND or KIND=VALUE, can be repeated"`
}

// inject applies the faults that are given as flags. Unlike faults injected
// over HTTP, they remain after a restart.
func (o instanceOptions) inject(target interface{ Inject(fault.Fault) error }) error {
	for _, f := range o.Faults {
		kind, value, _ := strings.Cut(f, "=")
		if err := target.Inject(fault.Fault{Kind: kind, Value: value}); err != nil {
			return fmt.Errorf("--fault %s: %w", f, err)
		}
	}
	return nil
}

// openRunLog opens the log of runs and returns a function that appends a line,
// or nil without --run-log. Each line is written immediately, in a single write,
// so that none is lost if the process is killed.
func (o instanceOptions) openRunLog() (func(line string), error) {
	if o.RunLog == "" {
		return nil, nil
	}
	f, err := os.OpenFile(o.RunLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("--run-log: %w", err)
	}
	return func(line string) { _, _ = f.WriteString(line + "\n") }, nil
}

// registration returns a function that keeps a backend server registered with
// the platform until its context ends, or nil without a platform.
func (o instanceOptions) registration(log *zap.Logger, kind string, leaving <-chan struct{}) func(context.Context, string) {
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
			OnReclaim: func() {
				log.Info("instance was reclaimed; exiting")
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
	Restart        bool          `long:"restart" env:"WASABIWORKS_STANDIN_RESTART" description:"restart the process after a poison request instead of ending it"`
	RestartDelay   time.Duration `long:"restart-delay" env:"WASABIWORKS_STANDIN_RESTART_DELAY" default:"1s" description:"time until a restarted process listens"`
	Crashes        int           `long:"crashes" env:"WASABIWORKS_STANDIN_CRASHES" default:"0" description:"crashes before this process"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := (nonNegativeFlags{
		"slots": float64(c.Slots), "queue": float64(c.Queue), "cache-blocks": float64(c.CacheBlocks),
		"first-token": c.FirstToken.Seconds(), "per-prompt-token": c.PerPromptToken.Seconds(),
		"between-tokens": c.BetweenTokens.Seconds(), "load-lag": c.LoadLag.Seconds(),
		"event-lag": c.EventLag.Seconds(), "event-gap": float64(c.EventGap),
		"version-delay": c.VersionDelay.Seconds(), "crashes": float64(c.Crashes),
	}).check(); err != nil {
		return err
	}
	log, err := c.logger("engine")
	if err != nil {
		return err
	}
	var exit func()
	if c.Restart {
		if c.Crashes > 0 {
			time.Sleep(c.RestartDelay)
		}
		exit = func() { restart(log, c.Crashes+1) }
	}
	logRun, err := c.openRunLog()
	if err != nil {
		return err
	}
	var onRun func(promptHash uint64)
	if logRun != nil {
		onRun = func(promptHash uint64) { logRun(strconv.FormatUint(promptHash, 10)) }
	}
	s := engine.New(engine.Config{
		OnRun:             onRun,
		Exit:              exit,
		Entry:             c.Entry,
		Versions:          c.Versions,
		Slots:             c.Slots,
		Queue:             c.Queue,
		FirstToken:        c.FirstToken,
		PerPromptToken:    c.PerPromptToken,
		BetweenTokens:     c.BetweenTokens,
		CacheBlocks:       c.CacheBlocks,
		LoadLag:           c.LoadLag,
		EventLag:          c.EventLag,
		DropEveryNthEvent: c.EventGap,
		VersionDelay:      c.VersionDelay,
		ChecksFence:       c.ChecksFence,
		Crashes:           c.Crashes,
	})
	if err := c.inject(s); err != nil {
		return err
	}
	return c.serve(log, server{handler: s, beginShutdown: s.Leave, register: c.registration(log, instances.KindLanguage, s.Leaving())})
}

// restart replaces the process with a new one, which breaks all connections.
// The flag --crashes that it appends takes precedence over an earlier one.
func restart(log *zap.Logger, crashes int) {
	log.Info("restarting after a crash", zap.Int("crashes", crashes))
	program, err := os.Executable()
	if err == nil {
		err = syscall.Exec(program, append(os.Args, "--crashes="+strconv.Itoa(crashes)), os.Environ())
	}
	log.Error("restart after a crash failed", zap.Error(err))
	os.Exit(restartFailedStatus)
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
	if err := (nonNegativeFlags{"slots": float64(c.Slots), "delay": c.Delay.Seconds()}).check(); err != nil {
		return err
	}
	log, err := c.logger("service")
	if err != nil {
		return err
	}
	onRun, err := c.openRunLog()
	if err != nil {
		return err
	}
	s := service.New(service.Config{Slots: c.Slots, Delay: c.Delay, OnRun: onRun})
	if err := c.inject(s); err != nil {
		return err
	}
	return c.serve(log, server{handler: s, beginShutdown: s.Leave, register: c.registration(log, instances.KindService, s.Leaving())})
}
