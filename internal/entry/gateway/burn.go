package gateway

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// samplePeriod is the time between two samples of the burn report's counters.
const samplePeriod = time.Minute

// sampleBurn periodically samples the counters of the burn report until ctx ends.
func (f *Instance) sampleBurn(ctx context.Context) {
	f.burn.Sample()
	wait.Every(ctx, samplePeriod, f.burn.Sample)
}

// countResult counts a completed request for the burn report.
func (f *Instance) countResult(e forward.Result) {
	result, ok := classify(e)
	if result == burn.Rejected {
		f.burn.AddRejection(string(e.Reason))
	}
	if ok && e.Route != "" {
		f.burn.AddResult(e.Route, e.Workspace, result)
	}
}

// classify classifies a completed request for the burn report. The second result
// is false if the request does not count because no system could have answered it.
func classify(e forward.Result) (burn.Result, bool) {
	switch e.Reason {
	case forward.Served:
		switch {
		case e.Failed:
			return burn.Failed, true
		case e.Late:
			return burn.Slow, true
		}
		return burn.Good, true
	case forward.ClientLeft, forward.NoRoute, forward.UnknownKey, forward.BodyTooLarge, forward.MalformedBody, forward.BodyStalled, forward.MalformedTarget, forward.PoisonRequest, forward.PoisonPart:
		return burn.Good, false
	case forward.OverAllowance:
		return burn.Limited, true
	case forward.NoConfiguration, forward.StaleConfiguration, forward.NoServer, forward.ServersFull, forward.ServersUnreachable, forward.TimedOutUnsent, forward.Stopping, forward.MemoryFull:
		return burn.Rejected, true
	}
	return burn.Failed, true
}
