package scaling

import "math"

// Budget for control on one node, from section 1.4 of docs/design.md. Memory is
// in bytes, budgetBytes in bytes per second.
const (
	budgetCores  = 0.014
	budgetMemory = 64e6
	budgetBytes  = 22e3
)

// Load at the target scale.
const (
	nodes             = 360
	requestsPerSecond = 2600.0
	tokensPerSecond   = 630_000.0
	changesPerSecond  = 6200.0 / 86400
	// scrapePeriod is the usual interval between scrapes, in seconds.
	scrapePeriod = 15
	// localLinks and remoteLinks are the numbers of a node's links inside its
	// failure domain and to others. localLinks is also used as the number of
	// members of a failure domain: 360 nodes in 7 domains are 51.4 each, which
	// the +1 rounds up to 52. A node chooses two peers in each of the six other
	// failure domains, and as many nodes there choose it.
	localLinks  = nodes/domains + 1
	remoteLinks = 2 * 2 * (domains - 1)
	// localPeriod is the heartbeat interval in a failure domain of localLinks
	// members, in seconds. Package membership lengthens the interval by 30 ms
	// per member.
	localPeriod = 0.03 * localLinks
	// realExchanges is the number of exchanges per second in which a node takes
	// part: one per localPeriod on each local link and one every 2 s on each
	// remote link. One exchange serves both ends of a link.
	realExchanges = localLinks/localPeriod + remoteLinks*0.5
)

// phase selects one of the windows of a run: idle, during a version move, or
// during catalogue changes.
type phase func(*Run) *Window

func idle(r *Run) *Window   { return &r.Idle }
func move(r *Run) *Window   { return &r.Move }
func change(r *Run) *Window { return &r.Change }

// metric computes a value from the measurements of a window.
type metric func(*Window) float64

func rate(name string) metric {
	return func(w *Window) float64 { return w.Rates[name] }
}

// ratio computes the ratio of two rates, such as bytes per exchange, and 0 if
// the second rate is 0.
func ratio(name, other string) metric {
	return func(w *Window) float64 {
		if w.Rates[other] == 0 {
			return 0
		}
		return w.Rates[name] / w.Rates[other]
	}
}

// bareExchangeBytes computes the size on the wire of an exchange without load
// reports. The process sends the reports of its own polls even if its peers
// send none, so they are subtracted.
func bareExchangeBytes(w *Window) float64 {
	if w.Rates["exchanges"] == 0 {
		return 0
	}
	return (w.Rates["peers.sent"] - w.Rates["digest.loads"]) / w.Rates["exchanges"]
}

func peakMemory(w *Window) float64 { return w.Peak }

// Spread is the mean, the minimum and the maximum of repeated measurements.
type Spread struct{ Mean, Min, Max float64 }

// times returns the spread multiplied by x.
func (s Spread) times(x float64) Spread { return Spread{s.Mean * x, s.Min * x, s.Max * x} }

// spread returns the spread of a value over the repeats of a shape.
func (r *Results) spread(s Shape, p phase, m metric) Spread {
	v, n := Spread{Min: math.Inf(1), Max: math.Inf(-1)}, 0
	for i := range r.Runs {
		if r.Runs[i].Shape != s {
			continue
		}
		x := m(p(&r.Runs[i]))
		v.Mean += x
		v.Min, v.Max = min(v.Min, x), max(v.Max, x)
		n++
	}
	if n == 0 {
		return Spread{}
	}
	v.Mean /= float64(n)
	return v
}

// Trend is a value as a linear function of the size of the fleet or of the load.
type Trend struct {
	Name, Unit, X string // X is the label of the horizontal axis
	File          string // base name of the plot's file
	Points        []Point
	Line          Line
	// Target is the value of X at the target scale. Measured is the mean of the
	// points there, or 0 if there are none.
	Target, Measured float64
}

// trend fits a value to the runs whose shape include accepts. Values are
// multiplied by scale, which converts them to the unit of s.
func (r *Results) trend(s Trend, include func(Shape) bool, x func(*Run) float64, p phase, m metric, scale float64) Trend {
	for i := range r.Runs {
		run := &r.Runs[i]
		if w := p(run); include(run.Shape) && w.Seconds > 0 {
			s.Points = append(s.Points, Point{x(run), m(w) * scale})
		}
	}
	s.fit()
	return s
}

// fit fits the line and computes the mean of the points at the target.
func (s *Trend) fit() {
	s.Line = Fit(s.Points)
	n := 0.0
	for _, p := range s.Points {
		if p.X == s.Target {
			s.Measured += p.Y
			n++
		}
	}
	if n > 0 {
		s.Measured /= n
	}
}

// inPeerSweep reports whether s belongs to the series of shapes that vary the
// number of peers with 20 workers.
func inPeerSweep(s Shape) bool { return s.Workers == 20 && !s.Bare }

// isBare reports whether the light peers of s send bare digests. These shapes vary
// the number of peers with 20 workers.
func isBare(s Shape) bool { return s.Bare }

// inWorkerSweep reports whether s belongs to the series of shapes that vary the
// number of workers with the target number of peers. In these, the measured process
// does not hold the watch.
func inWorkerSweep(s Shape) bool { return s.Peers == Target.Peers && !s.Bare && !s.Holder }

// notBare reports whether s is any shape but a bare one.
func notBare(s Shape) bool { return !s.Bare }

func peerCount(r *Run) float64     { return float64(r.Shape.Peers) }
func workerCount(r *Run) float64   { return float64(r.Shape.Workers) }
func instanceCount(r *Run) float64 { return float64(r.Shape.Peers + r.Shape.Workers + 1) }
func exchangeRate(r *Run) float64  { return r.Idle.Rates["exchanges"] }

// Trends returns all fits of the page.
func (r *Results) Trends() []Trend {
	peers, workers := float64(Target.Peers), float64(Target.Workers)
	return []Trend{
		r.trend(Trend{Name: "exchanges that the process starts", Unit: "1/s", X: "peers", File: "exchanges", Target: peers}, inPeerSweep, peerCount, idle, rate("exchanges"), 1),
		r.trend(Trend{Name: "bytes of a bare exchange on the wire, sent", Unit: "B", X: "peers", File: "heartbeat", Target: peers}, isBare, peerCount, idle, bareExchangeBytes, 1),
		r.trend(Trend{Name: "CPU of bare exchanges and of the idle process", Unit: "% of a core", X: "peers", File: "cpu-bare", Target: peers}, isBare, peerCount, idle, rate("cpu"), 100),
		r.exchangeTrend(),
		r.trend(Trend{Name: "CPU, 20 workers", Unit: "% of a core", X: "peers", File: "cpu-peers", Target: peers}, inPeerSweep, peerCount, idle, rate("cpu"), 100),
		r.trend(Trend{Name: "CPU, 359 peers", Unit: "% of a core", X: "workers", File: "cpu-workers", Target: workers}, inWorkerSweep, workerCount, idle, rate("cpu"), 100),
		r.trend(Trend{Name: "CPU with one version move, 20 workers", Unit: "% of a core", X: "peers", File: "cpu-move", Target: peers}, inPeerSweep, peerCount, move, rate("cpu"), 100),
		r.trend(Trend{Name: "demand in a digest", Unit: "KB", X: "peers", File: "demand", Target: peers}, inPeerSweep, peerCount, idle, ratio("digest.demands", "exchanges"), 1e-3),
		r.trend(Trend{Name: "evidence in a digest, one move", Unit: "KB", X: "peers", File: "evidence", Target: peers}, inPeerSweep, peerCount, move, ratio("digest.evidence", "exchanges"), 1e-3),
		r.trend(Trend{Name: "load reports in a digest, 359 peers", Unit: "KB", X: "workers", File: "loads", Target: workers}, inWorkerSweep, workerCount, idle, ratio("digest.loads", "exchanges"), 1e-3),
		r.trend(Trend{Name: "bytes of one read of the instance list", Unit: "KB", X: "instances", File: "list", Target: peers + workers + 1}, notBare, instanceCount, idle, ratio("body.instances", "calls.GET-instances"), 1e-3),
		r.trend(Trend{Name: "peak memory, 20 workers", Unit: "MB", X: "peers", File: "memory-peers", Target: peers}, inPeerSweep, peerCount, idle, peakMemory, 1e-6),
		r.trend(Trend{Name: "peak memory, 359 peers", Unit: "MB", X: "workers", File: "memory-workers", Target: workers}, inWorkerSweep, workerCount, idle, peakMemory, 1e-6),
		r.trend(Trend{Name: "peak memory with one version move, 20 workers", Unit: "MB", X: "peers", File: "memory-move", Target: peers}, inPeerSweep, peerCount, move, peakMemory, 1e-6),
		r.pathTrend(),
	}
}

// exchangeTrend returns the CPU usage of a process whose peers send bare digests,
// as a function of its rate of exchanges.
func (r *Results) exchangeTrend() Trend {
	return r.trend(Trend{Name: "CPU of bare exchanges", Unit: "% of a core", X: "exchanges/s", File: "cpu-exchange", Target: realExchanges},
		isBare, exchangeRate, idle, rate("cpu"), 100)
}

// pathTrend returns the CPU time of a request as a function of the number of tokens
// in its response.
func (r *Results) pathTrend() Trend {
	s := Trend{Name: "CPU of a request", Unit: "ms", X: "tokens per request", File: "request", Target: tokensPerSecond / requestsPerSecond}
	for _, p := range r.Path {
		if p.Requests > 0 {
			s.Points = append(s.Points, Point{p.Tokens / p.Requests, 1e3 * p.CPU / p.Requests})
		}
	}
	s.fit()
	return s
}

// exchangeRatio returns the rate of exchanges of a real node divided by that of
// the measured process, which takes part only in the exchanges that it starts
// itself, apart from announcements of catalogue revisions.
func (r *Results) exchangeRatio() float64 {
	return realExchanges / r.spread(Target, idle, rate("exchanges")).Mean
}

// bothDirections returns the bytes per second that a part of the digests takes
// in both directions on a real node at the target scale. All nodes are alike,
// so a node receives as much as it sends.
func (r *Results) bothDirections(p phase, name string) Spread {
	return r.spread(Target, p, rate(name)).times(2 * r.exchangeRatio())
}

// timeToEffect returns the spread of the seconds until a catalogue change is in
// effect, over the runs of all shapes. Without any changes, Mean is 0 and Min is
// +Inf.
func (r *Results) timeToEffect() Spread {
	v, n := Spread{Min: math.Inf(1)}, 0
	for i := range r.Runs {
		for _, x := range r.Runs[i].InEffect {
			v.Mean += x
			v.Min, v.Max = min(v.Min, x), max(v.Max, x)
			n++
		}
	}
	v.Mean /= float64(max(n, 1))
	return v
}
