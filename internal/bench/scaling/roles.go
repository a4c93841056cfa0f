package scaling

import (
	"fmt"
	"math"
	"strings"
)

// overBudgetMark is the prefix of the verdict on a role that exceeds the budget.
const overBudgetMark = "**over**"

// Role is a row of the page's table of roles: the cost of one kind of state or
// traffic at the target scale, on one node unless stated otherwise.
type Role struct {
	Name, Mechanism string
	// State, Messages and StoreCalls are texts with figures. StoreCalls covers
	// the calls of the whole fleet to the platform's store.
	State, Messages, StoreCalls string
	// Bytes is the traffic in both directions in bytes per second, CPU is in
	// cores and Memory in bytes.
	Bytes, CPU, Memory float64
	// CountsToBudget reports whether the role counts towards the control budget.
	CountsToBudget bool
	// FirstLimit is the limit that growth reaches first, NextStep what to build
	// before that.
	FirstLimit, NextStep string
	// Source names the values in results.json from which the figures are
	// computed. The value "none" means that the role is not measured.
	Source string
}

// Verdict compares the role with the budget that all control roles share. It
// states by how much the role alone exceeds the budget, or which share it uses.
// A role outside the budget gets "no control budget", one that is not measured
// "not known".
func (r Role) Verdict() string {
	if !r.CountsToBudget {
		return "no control budget"
	}
	if r.Source == "none" {
		return "not known"
	}
	var over []string
	for _, p := range []struct {
		name         string
		value, limit float64
	}{{"bytes", r.Bytes, budgetBytes}, {"CPU", r.CPU, budgetCores}, {"memory", r.Memory, budgetMemory}} {
		if p.value > p.limit {
			over = append(over, fmt.Sprintf("%s %.3g times", p.name, p.value/p.limit))
		}
	}
	if len(over) > 0 {
		return overBudgetMark + ": " + strings.Join(over, ", ")
	}
	share := 100 * max(r.Bytes/budgetBytes, r.CPU/budgetCores, r.Memory/budgetMemory)
	return fmt.Sprintf("within: %.2g%% of the budget", share)
}

// Roles returns the costs of all roles at the target scale.
func (r *Results) Roles() []Role {
	return []Role{
		r.requestPath(), r.membership(), r.instanceList(), r.configuration(), r.watchHolder(), r.evidence(), r.journal(),
		r.commands(), r.limits(), r.affinity(), r.loadReports(), r.metrics(),
	}
}

func (r *Results) requestPath() Role {
	line := r.pathTrend().Line
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
		Bytes:    bytes / count * tokens, CPU: (line.Intercept*requests + line.Slope*tokens) / 1e3, Memory: memory, StoreCalls: "0",
		FirstLimit: fmt.Sprintf("CPU for tokens: %.0f µs each, so that a core carries %.0f tokens/s", 1e3*line.Slope, 1e3/line.Slope),
		NextStep:   "nothing at the target; then several frames per write where a client is slower than the engine", Source: "path[]",
	}
}

func (r *Results) membership() Role {
	bare := Shape{Peers: Target.Peers, Workers: 20, Bare: true}
	exchangeBytes := r.spread(bare, idle, bareExchangeBytes).Mean
	line := r.exchangeTrend().Line
	return Role{
		Name: "membership: heartbeats", Mechanism: "peer/exchange, decide/membership: full mesh in the failure domain, two links to each other failure domain; the period grows above 33 members of a failure domain", CountsToBudget: true,
		State:    fmt.Sprintf("%d members of %.0f B", nodes, r.Packages.Memory["member"].Slope),
		Messages: fmt.Sprintf("%.0f exchanges/s over %d links", realExchanges, localLinks+remoteLinks),
		Bytes:    2 * exchangeBytes * realExchanges, CPU: line.At(realExchanges) / 100, Memory: nodes * r.Packages.Memory["member"].Slope, StoreCalls: "0",
		FirstLimit: fmt.Sprintf("CPU: an exchange takes %.2f ms beside %.2f%% of a core of the idle process, so that the budget allows %.0f exchanges/s; the full mesh of a failure domain has %d links. membership.Table.Links sorts all members twice a second (%.2f ms a call)",
			10*line.Slope, line.Intercept, (100*budgetCores-line.Intercept)/line.Slope, localLinks, 1e3*r.Packages.CPU["links"]),
		NextStep: "before 20 nodes per failure domain: a datagram as the heartbeat and an exchange every few seconds, at once only for what is urgent",
		Source:   "runs[] with shape.bare, local.memory.member, local.cpu.links",
	}
}

func (r *Results) instanceList() Role {
	reads := r.spread(Target, idle, rate("calls.GET-instances")).Mean
	list := r.spread(Target, idle, rate("platform.received")).Mean + r.spread(Target, idle, rate("platform.sent")).Mean
	return Role{
		Name: "membership: instance list", Mechanism: "platform/instances: each node asks for the list every 2 s, in a large fleet less often, with the entity tag of the one it has", CountsToBudget: true,
		State:    fmt.Sprintf("%.0f KB for %d instances", r.Packages.Sizes["instance list"]/1e3, Target.Peers+1+Target.Workers),
		Messages: fmt.Sprintf("%.2f reads/s", reads), Bytes: list,
		CPU: reads * (r.Packages.CPU["list decode"] + r.Packages.CPU["fleet rebuild"]), Memory: r.Packages.Sizes["instance list"] * 3,
		StoreCalls: fmt.Sprintf("0; %.0f reads/s and %.0f writes/s of the instance list, %.0f MB/s in all", reads*nodes, nodes/10.0, list*nodes/1e6),
		FirstLimit: "bytes of a changed list: 141 instances fail or are replaced on a usual day, but a reclaim wave changes the list at each read",
		NextStep:   "differences by exchange from one reader per failure domain, for the time of a wave",
		Source:     "runs[].idle.rates platform.received, calls.GET-instances, local.cpu list decode, fleet rebuild",
	}
}

func (r *Results) configuration() Role {
	size := r.Packages.Sizes["catalogue"]
	extraExchanges := r.exchangesPerChange()
	exchangeBytes := r.spread(Shape{Peers: Target.Peers, Workers: 20, Bare: true}, idle, bareExchangeBytes).Mean
	return Role{
		Name: "configuration: every node", Mechanism: "peer/propagation: push of the revision by exchange, pull of the catalogue from the peer that offers it", CountsToBudget: true,
		State:    fmt.Sprintf("%.0f KB encoded, %.0f KB of it history", size/1e3, (size-r.Packages.Sizes["catalogue without history"])/1e3),
		Messages: fmt.Sprintf("%.3f pulls/s, %.0f more exchanges per change", changesPerSecond, extraExchanges),
		Bytes:    changesPerSecond * (size + 2*extraExchanges*exchangeBytes), CPU: changesPerSecond * r.Packages.CPU["catalogue decode"],
		Memory: size + r.Packages.Sizes["catalogue heap"], StoreCalls: "0",
		FirstLimit: fmt.Sprintf("bytes of the catalogue: %.0f KB at 6,200 changes a day use the whole budget", budgetBytes/changesPerSecond/1e3),
		NextStep:   "keep the history under a key of its own that only the operator commands read; then differences between revisions",
		Source:     "local.sizes catalogue, runs[].change",
	}
}

// exchangesPerChange returns the number of exchanges that a catalogue change adds.
func (r *Results) exchangesPerChange() float64 {
	extraRate := r.spread(Target, change, rate("exchanges")).Mean - r.spread(Target, idle, rate("exchanges")).Mean
	return extraRate * changeInterval.Seconds()
}

func (r *Results) watchHolder() Role {
	holder := Target
	holder.Holder = true
	readRate := r.spread(holder, idle, rate("calls.GET-kv")).Mean
	readBytes := r.spread(holder, idle, rate("body.kv")).Mean
	// Traffic on the connections to the measured process is due to the changes;
	// the process sends its digests on connections of its own.
	servedBytes := changesPerSecond * r.spread(holder, change, rate("served.received")).times(changeInterval.Seconds()).Mean
	servedBytes += changesPerSecond * r.spread(holder, change, rate("served.sent")).times(changeInterval.Seconds()).Mean
	pulls := r.spread(holder, change, rate("pulls.served")).times(changeInterval.Seconds()).Mean
	return Role{
		Name: "configuration: holder of the watch", Mechanism: "peer/propagation: one node per failure domain watches the store, reads it every 2 s and serves the pulls of its failure domain", CountsToBudget: true,
		State:    "as every node",
		Messages: fmt.Sprintf("%.2f reads/s, %.0f pulls served per change", readRate, pulls),
		Bytes:    readBytes + servedBytes, CPU: changesPerSecond * r.Packages.CPU["catalogue decode"], Memory: 0,
		StoreCalls: fmt.Sprintf("%.1f reads/s and %d pending watches", readRate*domains, domains),
		FirstLimit: fmt.Sprintf("bytes: %.0f KB/s of reads that change nothing and %.0f KB/s of pulls", readBytes/1e3, servedBytes/1e3),
		NextStep:   "read a small key with the revision instead of the catalogue; pull from a peer chosen by hash among those that offer the revision, after a short random delay, so that copies spread as a tree",
		Source:     "runs[] with shape.holder: idle.rates calls.GET-kv, body.kv; change.rates served.*, pulls.served",
	}
}

func (r *Results) evidence() Role {
	counters := float64(nodes * countersPerNode)
	return Role{
		Name: "evidence and verdicts, one move of an entry with 360 requests/s", Mechanism: "decide/evidence, peer/exchange: counters merged by maximum, own ones in the failure domain and sums over it to the others; vetoes as a set", CountsToBudget: true,
		State:    fmt.Sprintf("%.0f counters of %.0f B", counters, r.Packages.Memory["evidence row"].Slope),
		Messages: fmt.Sprintf("%.0f counters in a digest, %.0f exchanges/s", r.spread(Target, move, ratio("sent.counters", "exchanges")).Mean, realExchanges),
		Bytes:    r.bothDirections(move, "digest.evidence").Mean,
		CPU:      r.spread(Target, move, rate("cpu")).Mean - r.spread(Target, idle, rate("cpu")).Mean, Memory: counters * r.Packages.Memory["evidence row"].Slope,
		StoreCalls: fmt.Sprintf("%d reads within 2 s of a move's start, %d writes within 2 s of a veto (from the code)", domains, domains),
		FirstLimit: fmt.Sprintf("bytes of the first digests to a newly started peer: %.0f KB a move if every node sent all counters, in digests of 1,024 counters; more than %.0f moves at a time would fill several messages",
			counters*r.Packages.Sizes["counter"]/1e3, math.Ceil((1<<20+64<<10)/(counters*r.Packages.Sizes["counter"]))),
		NextStep: "nothing at the target; forget evidence at keep-until before the moves of a day overlap in the hundreds",
		Source:   "runs[].move.rates digest.evidence, sent.counters, cpu; local.memory evidence row",
	}
}

func (r *Results) journal() Role {
	perDay := func(name string) float64 { return r.Packages.Sizes[name] * 64 / 86400 }
	return Role{
		Name: "journal, per non-idempotent call", Mechanism: "peer/journal: 64 shards, one value each, batched compare-and-swap by the shard's owner",
		State:    fmt.Sprintf("%.0f B in the store without the response, %.0f with one of %d B, for 24 h", 1<<20/r.Packages.Sizes["journal entries"], 1<<20/r.Packages.Sizes["journal entries with response"], responseSize),
		Messages: "1 Reserve and 1 Complete", Bytes: r.Journal["platform.sent"] + r.Journal["body.kv"], CPU: r.Journal["cpu"], Memory: r.Packages.Memory["journal entry"].Slope,
		StoreCalls: fmt.Sprintf("%.2f writes and %.2f reads per call", r.Journal["calls.PUT-kv"], r.Journal["calls.GET-kv"]),
		FirstLimit: fmt.Sprintf("shard capacity: the shards hold the calls of 24 h at %.0f calls/s on average (%.1f with their responses), then calls are rejected; each write of a full shard carries %.0f KB and takes %.1f ms to encode",
			perDay("journal entries"), perDay("journal entries with response"), r.Packages.Sizes["journal shard"]/1e3, 1e3*r.Packages.CPU["journal encode"]),
		NextStep: "a log of small values per shard and hour instead of one value per shard, so that a write carries its batch only; batches across shards before 150 calls/s, which make 300 writes/s",
		Source:   "journal (bytes to and from the store; CPU with the call itself; all shards owned by the process), local.sizes journal entries, local.cpu journal encode",
	}
}

func (r *Results) commands() Role {
	return Role{
		Name: "commands to backend servers", Mechanism: "platform/kv leases with fencing tokens; no component sends commands yet", CountsToBudget: true,
		State: "not measured", Messages: "0", StoreCalls: "0",
		FirstLimit: "not known before there is a sender", NextStep: "one lease per failure domain, not per backend server: 2,000 leases renewed every 10 s would be 200 writes/s",
		Source: "none",
	}
}

func (r *Results) limits() Role {
	fewWorkers := Shape{Peers: Target.Peers, Workers: 20}
	bare := fewWorkers
	bare.Bare = true
	recordBytes := r.spread(fewWorkers, idle, ratio("digest.demands", "sent.demands")).Mean
	return Role{
		Name: "limits", Mechanism: "entry/instance demands in peer/exchange: each node's demand per workspace and entry goes to its failure domain, the sum over it to the others, when it changes by a tenth or after 4 s", CountsToBudget: true,
		State:    fmt.Sprintf("%d records for %d pairs a node, of at most 4,096", (localLinks+domains)*demandsPerNode, demandsPerNode),
		Messages: fmt.Sprintf("%.0f records of %.0f B in a digest, the bound is 256", r.spread(fewWorkers, idle, ratio("sent.demands", "exchanges")).Mean, recordBytes),
		Bytes:    r.bothDirections(idle, "digest.demands").Mean, CPU: r.spread(fewWorkers, idle, rate("cpu")).Mean - r.spread(bare, idle, rate("cpu")).Mean,
		Memory: (localLinks + domains) * demandsPerNode * 200, StoreCalls: "0",
		FirstLimit: fmt.Sprintf("pairs: at %d pairs a node the set of 4,096 is full", 4096/(localLinks+domains)),
		NextStep:   "shard the pairs over the nodes of a failure domain",
		Source:     "runs[].idle.rates digest.demands, sent.demands; memory is estimated at 200 B a record",
	}
}

func (r *Results) affinity() Role {
	return Role{
		Name: "cache directory, prefix affinity", Mechanism: "decide/route: rendezvous hashing with bounded load, no directory", CountsToBudget: true,
		State: "0", Messages: "0", StoreCalls: "0", CPU: requestsPerSecond / nodes * r.Packages.CPU["pick"],
		FirstLimit: fmt.Sprintf("CPU grows with the servers of an entry: %.1f µs a choice among %.0f", 1e6*r.Packages.CPU["pick"], r.Packages.Sizes["servers per entry"]),
		NextStep:   "nothing at the target", Source: "local.cpu.pick",
	}
}

func (r *Results) loadReports() Role {
	fewWorkers := Shape{Peers: Target.Peers, Workers: 20}
	polls := r.spread(Target, idle, rate("workers.sent")).Mean + r.spread(Target, idle, rate("workers.received")).Mean
	cpu := r.spread(Target, idle, rate("cpu")).Mean - r.spread(fewWorkers, idle, rate("cpu")).Mean - r.instanceList().CPU
	return Role{
		Name: "load reports", Mechanism: "backend/fleet polls its share every 500 ms; peer/exchange spreads the reports in the failure domain when the load changes by a tenth or after 4 s", CountsToBudget: true,
		State:    fmt.Sprintf("%d servers of %.0f B", Target.Workers, r.Packages.Memory["worker"].Slope),
		Messages: fmt.Sprintf("%.1f polls/s, %.0f reports in a digest", 2*float64(Target.Workers)/nodes, r.spread(Target, idle, ratio("sent.loads", "exchanges")).Mean),
		Bytes:    r.bothDirections(idle, "digest.loads").Mean + polls, CPU: cpu, Memory: float64(Target.Workers) * r.Packages.Memory["worker"].Slope, StoreCalls: "0",
		FirstLimit: "CPU: polls over HTTP, and the view of the backend servers, which each report rebuilds",
		NextStep:   "poll once a second in a large fleet; take the reports of a digest in one step",
		Source:     "runs[].idle.rates digest.loads, workers.*, cpu; local.memory.worker, local.cpu live and owner",
	}
}

func (r *Results) metrics() Role {
	return Role{
		Name: "metrics", Mechanism: "operator/burn, client_golang: one scrape each 15 s", CountsToBudget: true,
		State: fmt.Sprintf("120 series of %.0f B with their history", r.Packages.Memory["burn series"].Slope), Messages: "0.07 scrapes/s",
		Bytes: r.Packages.Sizes["scrape"] / scrapePeriod, CPU: r.Packages.CPU["scrape"] / scrapePeriod, Memory: 120 * r.Packages.Memory["burn series"].Slope, StoreCalls: "0",
		FirstLimit: fmt.Sprintf("bytes of a scrape: %.0f B a series; the budget allows %.0f series", r.Packages.Sizes["scrape"]/120, budgetBytes*scrapePeriod/r.Packages.Sizes["scrape"]*120),
		NextStep:   "compressed scrapes; sums per entry with the workspaces on request",
		Source:     "local.memory burn series, local.cpu.scrape, local.sizes.scrape",
	}
}
