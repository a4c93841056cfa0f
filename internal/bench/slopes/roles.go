package slopes

import (
	"fmt"
	"math"
	"strings"
)

// overMark begins the verdict on a role that exceeds the budget.
const overMark = "**over**"

// Role is one kind of state or traffic at the target scale, on one node unless
// stated otherwise.
type Role struct {
	Name, Mechanism string
	// State, Messages and Store are texts with figures; Store is about the
	// calls of the platform's store by the whole fleet.
	State, Messages, Store string
	// Bytes are per second in both directions, CPU is in cores, Memory in
	// bytes.
	Bytes, CPU, Memory float64
	// Control roles count towards the budget.
	Control bool
	// Limit is the first limit that is met, Build what to build before.
	Limit, Build string
	// Source names the values in results.json that the figures come from.
	Source string
}

// Verdict says by how much a role alone exceeds the budget of all roles.
func (r Role) Verdict() string {
	if !r.Control {
		return "no control budget"
	}
	if r.Source == "none" {
		return "not known"
	}
	var over []string
	for _, p := range []struct {
		name      string
		of, limit float64
	}{{"bytes", r.Bytes, budgetBytes}, {"CPU", r.CPU, budgetCores}, {"memory", r.Memory, budgetMemory}} {
		if p.of > p.limit {
			over = append(over, fmt.Sprintf("%s %.3g times", p.name, p.of/p.limit))
		}
	}
	if len(over) > 0 {
		return overMark + ": " + strings.Join(over, ", ")
	}
	share := 100 * max(r.Bytes/budgetBytes, r.CPU/budgetCores, r.Memory/budgetMemory)
	return fmt.Sprintf("within: %.2g%% of the budget", share)
}

// Roles returns all roles at the target scale.
func (r *Results) Roles() []Role {
	return []Role{
		r.requestPath(), r.membership(), r.instanceList(), r.configuration(), r.watchHolder(), r.evidence(), r.journal(),
		r.commands(), r.limits(), r.affinity(), r.loadReports(), r.metrics(),
	}
}

func (r *Results) requestPath() Role {
	l := r.pathSlope().Line
	requests, tokens := requestsPerSecond/nodes, tokensPerSecond/nodes
	var bytes, count, memory float64
	for _, p := range r.Path {
		if p.MaxTokens > 1 {
			bytes, count = bytes+p.Bytes, count+p.Tokens
		}
		memory = max(memory, p.Peak)
	}
	return Role{
		Name: "request path", Mechanism: "caller/openai, decide/route, backend/engine; one attempt is one HTTP stream",
		State:    fmt.Sprintf("%.0f streams in flight", tokens*0.041),
		Messages: fmt.Sprintf("%.1f requests/s, %.0f tokens/s", requests, tokens),
		Bytes:    bytes / count * tokens, CPU: (l.Intercept*requests + l.Slope*tokens) / 1e3, Memory: memory, Store: "0",
		Limit: fmt.Sprintf("CPU for tokens: %.0f µs each, so that a core carries %.0f tokens/s", 1e3*l.Slope, 1e3/l.Slope),
		Build: "nothing at the target; then several frames per write where a client is slower than the engine", Source: "path[]",
	}
}

func (r *Results) membership() Role {
	bare := Shape{Peers: Target.Peers, Workers: 20, Bare: true}
	wire := r.at(bare, idle, bareBytes).Mean
	line := r.exchangeSlope().Line
	return Role{
		Name: "membership: heartbeats", Mechanism: "peer/exchange, decide/membership: full mesh in the failure domain, two links to each other one; the period grows above 33 members of a failure domain", Control: true,
		State:    fmt.Sprintf("%d members of %.0f B", nodes, r.Local.Memory["member"].Slope),
		Messages: fmt.Sprintf("%.0f exchanges/s over %d links", realExchanges, localLinks+remoteLinks),
		Bytes:    2 * wire * realExchanges, CPU: line.At(realExchanges) / 100, Memory: nodes * r.Local.Memory["member"].Slope, Store: "0",
		Limit: fmt.Sprintf("CPU: an exchange takes %.2f ms beside %.2f%% of a core of the idle process, so that the budget allows %.0f exchanges/s; the full mesh of a failure domain has %d links. membership.Table.Links sorts all members twice a second (%.2f ms a call)",
			10*line.Slope, line.Intercept, (100*budgetCores-line.Intercept)/line.Slope, localLinks, 1e3*r.Local.CPU["links"]),
		Build:  "before 20 nodes per failure domain: a datagram as the heartbeat and an exchange every few seconds, at once only for what is urgent",
		Source: "runs[] with shape.bare, local.memory.member, local.cpu.links",
	}
}

func (r *Results) instanceList() Role {
	reads := r.at(Target, idle, rate("calls.GET-instances")).Mean
	list := r.at(Target, idle, rate("platform.received")).Mean + r.at(Target, idle, rate("platform.sent")).Mean
	return Role{
		Name: "membership: instance list", Mechanism: "platform/instances: each node asks for the list every 2 s, in a large fleet less often, with the entity tag of the one it has", Control: true,
		State:    fmt.Sprintf("%.0f KB for %d instances", r.Local.Sizes["instance list"]/1e3, Target.Peers+1+Target.Workers),
		Messages: fmt.Sprintf("%.2f reads/s", reads), Bytes: list,
		CPU: reads * (r.Local.CPU["list decode"] + r.Local.CPU["fleet rebuild"]), Memory: r.Local.Sizes["instance list"] * 3,
		Store:  fmt.Sprintf("0; %.0f reads/s and %.0f writes/s of the instance list, %.0f MB/s in all", reads*nodes, nodes/10.0, list*nodes/1e6),
		Limit:  "bytes of a changed list: 141 instances fail or are replaced on a usual day, but a reclaim wave changes the list at each read",
		Build:  "differences by exchange from one reader per failure domain, for the time of a wave",
		Source: "runs[].idle.rates platform.received, calls.GET-instances, local.cpu list decode, fleet rebuild",
	}
}

func (r *Results) configuration() Role {
	size := r.Local.Sizes["catalogue"]
	extra := r.exchangesPerChange()
	bare := r.at(Shape{Peers: Target.Peers, Workers: 20, Bare: true}, idle, bareBytes).Mean
	return Role{
		Name: "configuration: every node", Mechanism: "peer/config: push of the revision by exchange, pull of the catalogue from the peer that offers it", Control: true,
		State:    fmt.Sprintf("%.0f KB encoded, %.0f KB of it history", size/1e3, (size-r.Local.Sizes["catalogue without history"])/1e3),
		Messages: fmt.Sprintf("%.3f pulls/s, %.0f more exchanges per change", changesPerSecond, extra),
		Bytes:    changesPerSecond * (size + 2*extra*bare), CPU: changesPerSecond * r.Local.CPU["catalogue decode"],
		Memory: size + r.Local.Sizes["catalogue heap"], Store: "0",
		Limit:  fmt.Sprintf("bytes of the catalogue: %.0f KB at 6,200 changes a day use the whole budget", budgetBytes/changesPerSecond/1e3),
		Build:  "keep the history under a key of its own that only the operator commands read; then differences between revisions",
		Source: "local.sizes catalogue, runs[].change",
	}
}

// exchangesPerChange is the number of exchanges that a catalogue change adds.
func (r *Results) exchangesPerChange() float64 {
	w := r.at(Target, change, rate("exchanges")).Mean - r.at(Target, idle, rate("exchanges")).Mean
	return w * changePause.Seconds()
}

func (r *Results) watchHolder() Role {
	holder := Target
	holder.Holder = true
	gets := r.at(holder, idle, rate("calls.GET-kv")).Mean
	reads := r.at(holder, idle, rate("body.kv")).Mean
	// The bytes of a change are told apart from those of the digests by the
	// connection.
	served := changesPerSecond * r.at(holder, change, rate("served.received")).times(changePause.Seconds()).Mean
	served += changesPerSecond * r.at(holder, change, rate("served.sent")).times(changePause.Seconds()).Mean
	pulls := r.at(holder, change, rate("pulls.served")).times(changePause.Seconds()).Mean
	return Role{
		Name: "configuration: holder of the watch", Mechanism: "peer/config: one node per failure domain watches the store, reads it every 2 s and serves the pulls of its failure domain", Control: true,
		State:    "as every node",
		Messages: fmt.Sprintf("%.2f reads/s, %.0f pulls served per change", gets, pulls),
		Bytes:    reads + served, CPU: changesPerSecond * r.Local.CPU["catalogue decode"], Memory: 0,
		Store:  fmt.Sprintf("%.1f reads/s and %d pending watches", gets*domains, domains),
		Limit:  fmt.Sprintf("bytes: %.0f KB/s of reads that change nothing and %.0f KB/s of pulls", reads/1e3, served/1e3),
		Build:  "read a small key with the revision instead of the catalogue; pull from a peer chosen by hash among those that offer the revision, after a short random delay, so that copies spread as a tree",
		Source: "runs[] with shape.holder: idle.rates calls.GET-kv, body.kv; change.rates served.*, pulls.served",
	}
}

func (r *Results) evidence() Role {
	rows := float64(nodes * countersPerNode)
	return Role{
		Name: "evidence and verdicts, one move of an entry with 360 requests/s", Mechanism: "decide/evidence, peer/exchange: counters merged by maximum, own ones in the failure domain and sums over it to the others; vetoes as a set", Control: true,
		State:    fmt.Sprintf("%.0f counters of %.0f B", rows, r.Local.Memory["evidence row"].Slope),
		Messages: fmt.Sprintf("%.0f counters in a digest, %.0f exchanges/s", r.at(Target, move, per("sent.counters", "exchanges")).Mean, realExchanges),
		Bytes:    r.bothWays(move, "digest.evidence").Mean,
		CPU:      r.at(Target, move, rate("cpu")).Mean - r.at(Target, idle, rate("cpu")).Mean, Memory: rows * r.Local.Memory["evidence row"].Slope,
		Store: fmt.Sprintf("%d reads within 2 s of a move's start, %d writes within 2 s of a veto (from the code)", domains, domains),
		Limit: fmt.Sprintf("bytes of the first digests to a peer that starts anew: %.0f KB a move if every node sent all counters, in digests of 1,024 counters; more than %.0f moves at a time would fill several messages",
			rows*r.Local.Sizes["counter"]/1e3, math.Ceil((1<<20+64<<10)/(rows*r.Local.Sizes["counter"]))),
		Build:  "nothing at the target; forget evidence at keep-until before the moves of a day overlap in the hundreds",
		Source: "runs[].move.rates digest.evidence, sent.counters, cpu; local.memory evidence row",
	}
}

func (r *Results) journal() Role {
	perDay := func(name string) float64 { return r.Local.Sizes[name] * 64 / 86400 }
	return Role{
		Name: "journal, per non-idempotent call", Mechanism: "peer/journal: 64 shards, one value each, batched compare-and-swap by the shard's owner",
		State:    fmt.Sprintf("%.0f B in the store without the response, %.0f with one of %d B, for 24 h", 1<<20/r.Local.Sizes["journal entries"], 1<<20/r.Local.Sizes["journal entries with response"], responseSize),
		Messages: "1 Reserve and 1 Complete", Bytes: r.Journal["platform.sent"] + r.Journal["body.kv"], CPU: r.Journal["cpu"], Memory: r.Local.Memory["journal entry"].Slope,
		Store: fmt.Sprintf("%.2f writes and %.2f reads per call", r.Journal["calls.PUT-kv"], r.Journal["calls.GET-kv"]),
		Limit: fmt.Sprintf("room: the shards hold the calls of 24 h at %.0f calls/s on average (%.1f with their responses), then calls are rejected; each write of a full shard carries %.0f KB and takes %.1f ms to encode",
			perDay("journal entries"), perDay("journal entries with response"), r.Local.Sizes["journal shard"]/1e3, 1e3*r.Local.CPU["journal encode"]),
		Build:  "a log of small values per shard and hour instead of one value per shard, so that a write carries its batch only; batches across shards before 150 calls/s, which make 300 writes/s",
		Source: "journal (bytes to and from the store; CPU with the call itself; all shards owned by the process), local.sizes journal entries, local.cpu journal encode",
	}
}

func (r *Results) commands() Role {
	return Role{
		Name: "commands to backend servers", Mechanism: "platform/kv leases with fencing tokens; no component sends commands yet", Control: true,
		State: "not measured", Messages: "0", Store: "0",
		Limit: "not known before there is a sender", Build: "one lease per failure domain, not per backend server: 2,000 leases renewed every 10 s would be 200 writes/s",
		Source: "none",
	}
}

func (r *Results) limits() Role {
	few := Shape{Peers: Target.Peers, Workers: 20}
	bare := few
	bare.Bare = true
	record := r.at(few, idle, per("digest.demands", "sent.demands")).Mean
	return Role{
		Name: "limits", Mechanism: "entry/instance demands in peer/exchange: each node's demand per workspace and entry goes to its failure domain, the sum over it to the others, when it changes by a tenth or after 4 s", Control: true,
		State:    fmt.Sprintf("%d records for %d pairs a node, of at most 4,096", (localLinks+domains)*usesPerNode, usesPerNode),
		Messages: fmt.Sprintf("%.0f records of %.0f B in a digest, the bound is 256", r.at(few, idle, per("sent.demands", "exchanges")).Mean, record),
		Bytes:    r.bothWays(idle, "digest.demands").Mean, CPU: r.at(few, idle, rate("cpu")).Mean - r.at(bare, idle, rate("cpu")).Mean,
		Memory: (localLinks + domains) * usesPerNode * 200, Store: "0",
		Limit:  fmt.Sprintf("pairs: at %d pairs a node the set of 4,096 is full", 4096/(localLinks+domains)),
		Build:  "shard the pairs over the nodes of a failure domain",
		Source: "runs[].idle.rates digest.demands, sent.demands; memory is estimated at 200 B a record",
	}
}

func (r *Results) affinity() Role {
	return Role{
		Name: "cache directory, prefix affinity", Mechanism: "decide/route: rendezvous hashing with bounded load, no directory", Control: true,
		State: "0", Messages: "0", Store: "0", CPU: requestsPerSecond / nodes * r.Local.CPU["pick"],
		Limit: fmt.Sprintf("CPU grows with the servers of an entry: %.1f µs a choice among %.0f", 1e6*r.Local.CPU["pick"], r.Local.Sizes["servers per entry"]),
		Build: "nothing at the target", Source: "local.cpu.pick",
	}
}

func (r *Results) loadReports() Role {
	few := Shape{Peers: Target.Peers, Workers: 20}
	polls := r.at(Target, idle, rate("workers.sent")).Mean + r.at(Target, idle, rate("workers.received")).Mean
	cpu := r.at(Target, idle, rate("cpu")).Mean - r.at(few, idle, rate("cpu")).Mean - r.instanceList().CPU
	return Role{
		Name: "load reports", Mechanism: "backend/fleet polls its share every 500 ms; peer/exchange spreads the reports in the failure domain when the load changes by a tenth or after 4 s", Control: true,
		State:    fmt.Sprintf("%d servers of %.0f B", Target.Workers, r.Local.Memory["worker"].Slope),
		Messages: fmt.Sprintf("%.1f polls/s, %.0f reports in a digest", 2*float64(Target.Workers)/nodes, r.at(Target, idle, per("sent.loads", "exchanges")).Mean),
		Bytes:    r.bothWays(idle, "digest.loads").Mean + polls, CPU: cpu, Memory: float64(Target.Workers) * r.Local.Memory["worker"].Slope, Store: "0",
		Limit:  "CPU: polls over HTTP, and the view of the backend servers that each report makes anew",
		Build:  "poll once a second in a large fleet; take the reports of a digest in one step",
		Source: "runs[].idle.rates digest.loads, workers.*, cpu; local.memory.worker, local.cpu live and owner",
	}
}

func (r *Results) metrics() Role {
	return Role{
		Name: "metrics", Mechanism: "operator/burn, client_golang: one scrape each 15 s", Control: true,
		State: fmt.Sprintf("120 series of %.0f B with their history", r.Local.Memory["burn series"].Slope), Messages: "0.07 scrapes/s",
		Bytes: r.Local.Sizes["scrape"] / scrapePeriod, CPU: r.Local.CPU["scrape"] / scrapePeriod, Memory: 120 * r.Local.Memory["burn series"].Slope, Store: "0",
		Limit:  fmt.Sprintf("bytes of a scrape: %.0f B a series; the budget allows %.0f series", r.Local.Sizes["scrape"]/120, budgetBytes*scrapePeriod/r.Local.Sizes["scrape"]*120),
		Build:  "compressed scrapes; sums per entry with the workspaces on request",
		Source: "local.memory burn series, local.cpu.scrape, local.sizes.scrape",
	}
}
