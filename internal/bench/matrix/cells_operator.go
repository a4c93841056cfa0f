package matrix

import (
	"context"
	"strings"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
)

func operatorCells() []*Cell {
	return []*Cell{
		{Name: "operator-race", Fault: "two operators apply different catalogues from the same base at once", script: operatorRace},
		{Name: "apply-lost-answer", Fault: "the answer to the write of an apply is lost",
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: platform.LostResponse, Target: "kv/catalogue"}, 3*time.Second); err != nil {
					return err
				}
				t.applyNewRevision(ctx, "unlucky")
				return nil
			}},
	}
}

func operatorRace(ctx, _ context.Context, t *trial) error {
	authors := []string{"jana", "petr"}
	outs, errs := make([]string, 2), make([]error, 2)
	t.mu.Lock()
	base, current := t.revision, t.settings
	t.mu.Unlock()
	var wg sync.WaitGroup
	for i, author := range authors {
		wg.Go(func() {
			next := current
			next.requestsPerSecond += i + 1
			outs[i], errs[i] = t.topology.ApplyCatalogue(ctx, author, next.yaml(base, t.mix.Workspaces))
		})
	}
	wg.Wait()
	succeeded := 0
	for i := range authors {
		if errs[i] == nil {
			succeeded++
			continue
		}
		other := authors[1-i]
		t.check(RevisionEffective, strings.Contains(outs[i], other), "the error of the rejected apply does not name %s: %s", other, outs[i])
	}
	t.check(RevisionEffective, succeeded == 1, "%d applies succeeded, want 1: %q", succeeded, outs)
	t.note("%d of 2 applies succeeded", succeeded)
	return nil
}
