package gateway

import (
	"testing"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
)

// Guards against failures of the system that the burn report does not count, and
// against errors of clients that consume the error budget.
func TestClassify(t *testing.T) {
	want := map[forward.Reason]burn.Result{
		forward.OverAllowance:   burn.Limited,
		forward.NoConfiguration: burn.Rejected, forward.StaleConfiguration: burn.Rejected, forward.NoServer: burn.Rejected,
		forward.ServersFull: burn.Rejected, forward.ServersUnreachable: burn.Rejected, forward.TimedOutUnsent: burn.Rejected, forward.Stopping: burn.Rejected, forward.MemoryFull: burn.Rejected,
		forward.ResponseLost: burn.Failed, forward.InvalidResponse: burn.Failed, forward.ResponseDropped: burn.Failed, forward.TimedOut: burn.Failed, forward.Interrupted: burn.Failed, forward.StreamBroken: burn.Failed,
		forward.Served: burn.Good,
	}
	for _, reason := range forward.Reasons {
		got, ok := classify(forward.Result{Reason: reason})
		w, counts := want[reason]
		if ok != counts || counts && got != w {
			t.Errorf("%s: got %v, counted %v; want %v, counted %v", reason, got, ok, w, counts)
		}
	}
	if got, _ := classify(forward.Result{Reason: forward.Served, Late: true}); got != burn.Slow {
		t.Errorf("served late: got %v, want %v", got, burn.Slow)
	}
	if got, _ := classify(forward.Result{Reason: forward.Served, Failed: true}); got != burn.Failed {
		t.Errorf("failure of the server: got %v, want %v", got, burn.Failed)
	}
}
