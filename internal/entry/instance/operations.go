package instance

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
)

// operationsHandler returns the handler for /healthz, /readyz, /metrics and
// /status.
func (i *Instance) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := i.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.status()) // a failure means that the client has disconnected
	})
	return mux
}

// notReadyReason returns why the load balancer must not send requests to this
// instance, or "" if the instance is ready.
func (i *Instance) notReadyReason() string {
	switch {
	case i.draining.Load():
		return "instance is shutting down"
	case !i.propagator.Ready():
		return "instance has no catalogue yet"
	case !i.moveController.vetoesKnown.Load():
		return "instance does not know yet which versions were rolled back"
	}
	return ""
}

// status returns the response to GET /status.
func (i *Instance) status() admin.Status {
	now := i.now()
	self := i.members.Self()
	reason := i.notReadyReason()
	generated, cached, recomputed := i.metrics.TokenTotals()
	s := admin.Status{
		Instance:          self.ID,
		Incarnation:       self.Incarnation,
		FailureDomain:     self.FailureDomain,
		Region:            i.config.Region,
		Ready:             reason == "",
		NotReady:          reason,
		Leaving:           i.draining.Load(),
		CatalogueRevision: i.propagator.Revision(),
		Members:           i.memberStatus(),
		GeneratedTokens:   generated,
		CachedTokens:      cached,
		RecomputedTokens:  recomputed,
		PricePerHour:      i.config.Price,
		Cost:              i.recorder.totalCost(),
	}
	active := i.moveController.current.Load()
	if active == nil {
		return s
	}
	for name, m := range active.moves {
		s.Moves = append(s.Moves, admin.Move{
			ID: m.planned.ID, Entry: name, From: m.planned.From, To: m.planned.To,
			Share: m.decision.Share, Phase: m.decision.Phase.String(), Reason: m.decision.Reason, Deadline: m.planned.Deadline,
		})
	}
	for _, e := range active.snapshot.Catalogue.Entries {
		for _, b := range i.fleet.View(e.Name) {
			state := "live"
			if now.Before(b.Joined) {
				state = "joining"
			}
			s.Backends = append(s.Backends, admin.Backend{
				ID: b.ID, Entry: e.Name, State: state, Running: b.Running, Capacity: b.Capacity,
			})
		}
	}
	return s
}

func (i *Instance) memberStatus() []admin.Member {
	live := make(map[string]bool)
	for _, id := range i.members.Live("", i.now()) {
		live[id] = true
	}
	var ms []admin.Member
	for _, m := range i.members.Members() {
		state := "suspect"
		switch {
		case m.Leaving:
			state = "leaving"
		case live[m.ID]:
			state = "live"
		}
		ms = append(ms, admin.Member{ID: m.ID, FailureDomain: m.FailureDomain, State: state})
	}
	return ms
}
