package instance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/move"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
	"wasabiworks.example/wasabiworks/internal/peer/demand"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/propagation"
	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
)

func (i *Instance) initMoveController(store kv.Store, table *evidence.Table) {
	i.moveController = &moveController{
		policy: i.config.Move, evidence: table, isolated: i.members.Isolated, store: store, now: i.now,
		log: i.config.Log, metrics: i.metrics,
		isHolder: func() bool { return i.members.WatchHolder(i.now()) == i.config.ID }, wake: make(chan struct{}, 1), catalogueChanged: make(chan struct{}, 1),
		vetoStored: make(map[string]bool), serves: i.servesVersion, presence: move.Presence{Start: i.now()},
	}
	i.moveController.vetoes = newVetoes(i.moveController.onVeto)
}

// servesVersion reports whether an entry has a server of a version.
func (i *Instance) servesVersion(entry, version string) bool {
	return slices.ContainsFunc(i.fleet.View(entry), func(b route.Backend) bool { return b.Serves(version) })
}

func (i *Instance) initFleet() {
	i.engine = engine.New(engine.Config{})
	i.service = service.New(service.Config{})
	i.leavingMarks = newLeavingMarks(func(l leavingMark) {
		if l.reclaimAt.IsZero() {
			i.fleet.RecordPeerMark(l.backend, l.expiresAt)
			return
		}
		i.fleet.RecordReclaimNotice(l.backend, l.reclaimAt)
	}, i.now)
	i.loadReports = newLoadReports(i.sendsReport, func(r fleet.Report) { i.fleet.Report(r) }, i.now)
	i.fleet = fleet.New(fleet.Config{
		Poller:     fleet.EnginePoller{Client: i.engine},
		ShouldPoll: i.polls,
		Instances:  func() int { return int(i.liveCount.Load()) },
		OnLeaving: func(m fleet.LeavingMark) {
			if i.leavingMarks.Put(leavingMark{backend: m.Backend, expiresAt: m.Expires}) {
				i.exchange.Notify()
			}
		},
		OnReport: i.publishReport,
	})
}

func (i *Instance) initPeers(store kv.Store, table *evidence.Table) error {
	demands := demand.New(demand.Config{Node: i.config.ID, Domain: i.config.FailureDomain, DomainOf: i.domainOf, Live: i.liveIn, Now: i.now})
	i.limiter = &limiter{
		instanceID: i.config.ID, domain: i.config.FailureDomain, fleet: i.fleet, demands: demands, snapshot: i.moveController.Snapshot,
		liveInstances: func() int { return max(1, int(i.liveCount.Load())) },
	}
	evidenceExchange := exchange.Evidence{Table: table, Self: i.config.ID, Domain: i.config.FailureDomain, Known: i.moveController.hasMove}
	crashRecords := crash.Records{Set: i.poison, Now: i.now}
	var err error
	i.exchange, err = exchange.New(exchange.Config{
		Members: i.members,
		Sources: []exchange.Source{i.moveController.vetoes, i.leavingMarks, crashRecords, evidenceExchange, i.loadReports, demands},
		Sinks:   []exchange.Sink{i.moveController.vetoes, i.leavingMarks, crashRecords, evidenceExchange, i.loadReports, demands},
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
			Handover: i.serveHandover,
		},
		Revision: func() int64 { return i.propagator.Revision() },
		Watching: func() bool { return i.propagator.Watching() },
		OnDigest: func(from membership.Member, revision int64, watching bool) {
			// A digest from a peer that has a catalogue includes the peer's
			// vetoes, and they were merged before this call.
			if revision > 0 {
				i.moveController.vetoesKnown.Store(true)
			}
			i.propagator.ObservePeer(from.ID, from.FailureDomain, revision, watching)
		},
		TLS:        i.config.PeerTLS,
		Registerer: i.registry,
		Logger:     i.config.Log,
	})
	if err != nil {
		return err
	}
	if err := i.initPropagator(store); err != nil {
		return err
	}
	i.journal, err = journal.New(journal.Config{
		Self: i.config.ID, Incarnation: i.members.Self().Incarnation, Store: store, Peers: i.exchange,
		Live:       func() []string { return i.members.Live("", i.now()) },
		Registerer: i.registry, Logger: i.config.Log,
	})
	return err
}

func (i *Instance) initPropagator(store kv.Store) (err error) {
	i.propagator, err = propagation.New(propagation.Config[*catalogue.Snapshot]{
		Self: i.config.ID, FailureDomain: i.config.FailureDomain, Store: store,
		Decode: func(revision int64, data []byte) (*catalogue.Snapshot, error) {
			c, err := catalogue.Decode(data)
			if err != nil {
				return nil, err
			}
			return catalogue.NewSnapshot(revision, c), nil
		},
		Changed: func(revision int64, s *catalogue.Snapshot) {
			i.moveController.accept(s)
			i.config.Log.Info("catalogue applied", zap.Int64("revision", revision), zap.String("operation", s.Catalogue.Operation))
		},
		Holder: func() string { return i.members.WatchHolder(i.now()) },
		Peers:  func() []string { return i.members.Live("", i.now()) },
		Pull:   i.exchange.Pull, Notify: i.exchange.Notify,
		Registerer: i.registry, Logger: i.config.Log,
	})
	return err
}

func (i *Instance) initPlatform() {
	i.platform = &platformSync{
		listClient: instances.New(instances.Config{Address: i.config.Platform}),
		cloud:      cloud.New(cloud.Config{Address: i.config.Platform}),
		self:       i.listRecord,
		members:    i.members,
		fleet:      i.fleet,
		onReclaim: func(id string, deadline time.Time) {
			if i.leavingMarks.Put(leavingMark{backend: id, expiresAt: i.now().Add(reclaimMarkTTL), reclaimAt: deadline}) {
				i.exchange.Notify()
			}
		},
		onPrice: i.recorder.setPrice,
		now:     i.now,
		log:     i.config.Log,
	}
}

// listRecord returns the record of this instance for the instance list.
func (i *Instance) listRecord() instances.Instance {
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

func (i *Instance) initRequestPath() {
	requests, responses := i.connections.requests, i.connections.responses
	instanceIncarnation := i.recorder.instanceIncarnation
	budget := &retryBudgets{entryOf: i.platform.entryOf}
	i.openai = openai.New(openai.Config{
		Node: instanceIncarnation, FailureDomain: i.config.FailureDomain, Snapshots: i.moveController, Limiter: i.limiter, Versions: i.moveController,
		Router: i.config.Route, Fleet: i.fleet, Engine: i.engine, Budget: budget,
		Poison:   poisonAdapter{i.poison, func() { i.exchange.Notify() }, i.now},
		Recorder: i.recorder, Now: i.now, Random: rand.Uint64, Requests: requests, Responses: responses,
	})
	i.services = services.New(services.Config{
		Node: instanceIncarnation, FailureDomain: i.config.FailureDomain, Snapshots: i.moveController, Limiter: i.limiter, Versions: i.moveController,
		Router: i.config.Route, Fleet: i.fleet, Client: i.service, Budget: budget, Journal: journalAdapter{i.journal}, Recorder: i.recorder,
		Now: i.now, Random: rand.Uint64, Requests: requests,
	})
}
