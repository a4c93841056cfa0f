package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/config"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
	"wasabiworks.example/wasabiworks/internal/peer/demand"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

func (i *Instance) newMover(store kv.Store, table *evidence.Table) {
	i.mover = &mover{
		policy: i.config.Move, evidence: table, isolated: i.members.Isolated, store: store, now: i.now,
		log: i.config.Log, metrics: i.metrics,
		holder: func() bool { return i.members.Holder(i.now()) == i.config.ID }, wake: make(chan struct{}, 1), accepted: make(chan struct{}, 1),
		stored: make(map[string]bool),
	}
	i.mover.vetoes = newVetoes(i.mover.vetoed)
}

func (i *Instance) newFleet() {
	i.engine = engine.New(engine.Config{})
	i.service = service.New(service.Config{})
	i.leavings = newLeavings(func(l leaving) {
		if l.reclaim.IsZero() {
			i.fleet.PeerLeaving(l.backend, l.until)
			return
		}
		i.fleet.Notice(l.backend, l.reclaim)
	}, i.now)
	i.reports = newReports(i.relaysReport, func(r fleet.Report) { i.fleet.Report(r) }, i.now)
	i.fleet = fleet.New(fleet.Config{
		Poller: fleet.Engines{Client: i.engine},
		Share:  i.polls,
		Nodes:  func() int { return int(i.live.Load()) },
		OnLeaving: func(m fleet.Mark) {
			if i.leavings.Put(leaving{backend: m.Backend, until: m.Deadline}) {
				i.exchange.Notify()
			}
		},
		OnReport: i.publishReport,
	})
}

func (i *Instance) newPeers(store kv.Store, table *evidence.Table) error {
	demands := demand.New(demand.Config{Node: i.config.ID, Domain: i.config.FailureDomain, DomainOf: i.domainOf, Live: i.liveIn, Now: i.now})
	i.limiter = &limiter{
		node: i.config.ID, domain: i.config.FailureDomain, fleet: i.fleet, demands: demands, snapshot: i.mover.Snapshot,
		nodes: func() int { return max(1, int(i.live.Load())) },
	}
	evidenceExchange := exchange.Evidence{Table: table, Self: i.config.ID, Domain: i.config.FailureDomain, Known: i.mover.known}
	records := crash.Records{Set: i.poison, Now: i.now}
	var err error
	i.exchange, err = exchange.New(exchange.Config{
		Members: i.members,
		Sources: []exchange.Source{i.mover.vetoes, i.leavings, records, evidenceExchange, i.reports, demands},
		Sinks:   []exchange.Sink{i.mover.vetoes, i.leavings, records, evidenceExchange, i.reports, demands},
		Services: exchange.Services{
			Pull: func(ctx context.Context, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
				return i.propagator.ServePull(ctx, r)
			},
			Reserve: func(ctx context.Context, r *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
				return i.journal.ServeReserve(ctx, r)
			},
			Complete: func(ctx context.Context, r *peerpb.CompleteRequest) (*peerpb.CompleteReply, error) {
				return i.journal.ServeComplete(ctx, r)
			},
			Handover: i.adopt,
		},
		Revision: func() int64 { return i.propagator.Revision() },
		Watching: func() bool { return i.propagator.Watching() },
		Heard: func(from membership.Member, revision int64, watching bool) {
			// The digest of a peer with a catalogue held its vetoes.
			if revision > 0 {
				i.mover.settled.Store(true)
			}
			i.propagator.Heard(from.ID, from.FailureDomain, revision, watching)
		},
		TLS:        i.config.PeerTLS,
		Registerer: i.registry,
		Logger:     i.config.Log,
	})
	if err != nil {
		return err
	}
	if err := i.newPropagator(store); err != nil {
		return err
	}
	i.journal, err = journal.New(journal.Config{
		Self: i.config.ID, Incarnation: i.members.Self().Incarnation, Store: store, Peers: i.exchange,
		Live:       func() []string { return i.members.Live("", i.now()) },
		Registerer: i.registry, Logger: i.config.Log,
	})
	return err
}

func (i *Instance) newPropagator(store kv.Store) (err error) {
	i.propagator, err = config.New(config.Config[*catalogue.Snapshot]{
		Self: i.config.ID, FailureDomain: i.config.FailureDomain, Store: store,
		Decode: func(revision int64, data []byte) (*catalogue.Snapshot, error) {
			c, err := catalogue.Decode(data)
			if err != nil {
				return nil, err
			}
			return catalogue.NewSnapshot(revision, c), nil
		},
		Changed: func(revision int64, s *catalogue.Snapshot) {
			i.mover.accept(s)
			i.config.Log.Info("catalogue is in effect", zap.Int64("revision", revision), zap.String("operation", s.Catalogue.Operation))
		},
		Holder: func() string { return i.members.Holder(i.now()) },
		Peers:  func() []string { return i.members.Live("", i.now()) },
		Pull:   i.exchange.Pull, Notify: i.exchange.Notify,
		Registerer: i.registry, Logger: i.config.Log,
	})
	return err
}

func (i *Instance) newPlatform() {
	i.platform = &platform{
		list:    instances.New(instances.Config{Address: i.config.Platform}),
		cloud:   cloud.New(cloud.Config{Address: i.config.Platform}),
		self:    i.listed,
		members: i.members,
		fleet:   i.fleet,
		reclaimed: func(id string, deadline time.Time) {
			if i.leavings.Put(leaving{backend: id, until: i.now().Add(markKept), reclaim: deadline}) {
				i.exchange.Notify()
			}
		},
		prices: i.recorder.setPrice,
		now:    i.now,
		log:    i.config.Log,
	}
}

// listed is this instance as the instance list has it.
func (i *Instance) listed() instances.Instance {
	state := instances.StateLive
	if i.draining.Load() {
		state = instances.StateLeaving
	}
	return instances.Instance{
		ID: i.config.ID, Role: instances.RoleEntry, Region: i.config.Region, FailureDomain: i.config.FailureDomain,
		Address: i.config.Client.Addr().String(), PeerAddress: i.config.Peer.Addr().String(),
		OperationsAddress: i.config.Operations.Addr().String(), State: state,
		Class: i.config.Class, Reclaimable: i.config.Reclaimable, Price: i.config.Price,
	}
}

func (i *Instance) newRequestPath() {
	node := i.recorder.node
	budget := &budgets{entryOf: i.platform.entryOf}
	i.openai = openai.New(openai.Config{
		Node: node, FailureDomain: i.config.FailureDomain, Snapshots: i.mover, Limiter: i.limiter, Versions: i.mover,
		Router: i.config.Route, Fleet: i.fleet, Engine: i.engine, Budget: budget,
		Poison:   poisons{i.poison, func() { i.exchange.Notify() }, i.now},
		Recorder: i.recorder, Now: i.now, Random: rand.Uint64,
	})
	i.services = services.New(services.Config{
		Node: node, FailureDomain: i.config.FailureDomain, Snapshots: i.mover, Limiter: i.limiter, Versions: i.mover,
		Router: i.config.Route, Fleet: i.fleet, Client: i.service, Budget: budget, Journal: calls{i.journal}, Recorder: i.recorder,
		Now: i.now, Random: rand.Uint64,
	})
}
