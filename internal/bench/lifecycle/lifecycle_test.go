package lifecycle

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// Guards against an instance that stays listed after Run has returned, is not
// listed as leaving, or is not notified of its reclaim.
func TestRunReportsStateAndReclaim(t *testing.T) {
	is := is.New(t)
	p := platform.New(platform.Config{})
	platformServer := httptest.NewServer(p)
	defer platformServer.Close()
	defer p.Close()
	list := instances.New(instances.Config{Address: platformServer.URL})
	leaving, reclaimed := make(chan struct{}), make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Run(ctx, Config{
			Instances: list,
			Cloud:     cloud.New(cloud.Config{Address: platformServer.URL}),
			Instance:  instances.Instance{ID: "e", Role: instances.RoleBackend, FailureDomain: "zlin", Reclaimable: true},
			Leaving:   leaving,
			OnReclaim: func() { close(reclaimed) },
		})
	}()
	waitForState := func(state string) {
		for {
			all, err := list.List(t.Context())
			is.NoErr(err)
			if len(all) == 1 && all[0].State == state {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	waitForState(instances.StateLive)
	close(leaving)
	waitForState(instances.StateLeaving)
	is.NoErr(p.Inject(fault.Fault{Kind: platform.Reclaim, Target: "zlin", Until: time.Now().Add(time.Millisecond)}))
	<-reclaimed
	cancel()
	<-done
	all, err := list.List(t.Context())
	is.NoErr(err)
	is.Equal(len(all), 0)
}
