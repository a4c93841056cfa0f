package slopes

import "math"

// Budget of section 1.4 of docs/design.md for control on one node.
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
	// scrapePeriod is the usual time between two scrapes, in seconds.
	scrapePeriod = 15
	// localLinks and remoteLinks are the links of a node: its failure domain,
	// and two to each of six others plus as many that chose it.
	localLinks  = nodes/domains + 1
	remoteLinks = 2 * 2 * (domains - 1)
	// localPeriod is the time between two heartbeats in a failure domain of
	// that size, in seconds.
	localPeriod = 0.03 * localLinks
	// realExchanges is the number of exchanges per second of a node. One
	// exchange serves both ends of a link.
	realExchanges = localLinks/localPeriod + remoteLinks*0.5
)

// phase selects a window of a run.
type phase func(*Run) *Window

func idle(r *Run) *Window   { return &r.Idle }
func move(r *Run) *Window   { return &r.Move }
func change(r *Run) *Window { return &r.Change }

// measure computes a value from a window.
type measure func(*Window) float64

func rate(name string) measure {
	return func(w *Window) float64 { return w.Rates[name] }
}

// per returns the ratio of two rates, such as bytes per exchange.
func per(name, other string) measure {
	return func(w *Window) float64 {
		if w.Rates[other] == 0 {
			return 0
		}
		return w.Rates[name] / w.Rates[other]
	}
}

// bareBytes is the size on the wire of an exchange without load reports, which
// the process has of its own polls even if its peers send none.
func bareBytes(w *Window) float64 {
	if w.Rates["exchanges"] == 0 {
		return 0
	}
	return (w.Rates["peers.sent"] - w.Rates["digest.loads"]) / w.Rates["exchanges"]
}

func peak(w *Window) float64 { return w.Peak }

// Spread is the mean of the repeats with the least and the largest of them.
type Spread struct{ Mean, Least, Largest float64 }

// times scales a spread.
func (s Spread) times(x float64) Spread { return Spread{s.Mean * x, s.Least * x, s.Largest * x} }

// at returns a value over the repeats of a shape.
func (r *Results) at(s Shape, p phase, m measure) Spread {
	v, n := Spread{Least: math.Inf(1), Largest: math.Inf(-1)}, 0
	for i := range r.Runs {
		if r.Runs[i].Shape != s {
			continue
		}
		x := m(p(&r.Runs[i]))
		v.Mean += x
		v.Least, v.Largest = min(v.Least, x), max(v.Largest, x)
		n++
	}
	if n == 0 {
		return Spread{}
	}
	v.Mean /= float64(n)
	return v
}

// Slope is a value over the size of the fleet.
type Slope struct {
	Name, Unit, X string
	File          string // of the plot
	Points        []Point
	Line          Line
	// Target is the size at the target scale, Measured the mean of the points
	// there or 0.
	Target, Measured float64
}

// slope fits a value over the runs that keep accepts. Values are multiplied by
// scale before.
func (r *Results) slope(s Slope, keep func(Shape) bool, x func(*Run) float64, p phase, m measure, scale float64) Slope {
	for i := range r.Runs {
		run := &r.Runs[i]
		if w := p(run); keep(run.Shape) && w.Seconds > 0 {
			s.Points = append(s.Points, Point{x(run), m(w) * scale})
		}
	}
	s.finish()
	return s
}

// finish fits the line and takes the mean of the points at the target.
func (s *Slope) finish() {
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

func byPeers(s Shape) bool   { return s.Workers == 20 && !s.Bare }
func bareFleet(s Shape) bool { return s.Bare }
func byWorkers(s Shape) bool { return s.Peers == Target.Peers && !s.Bare && !s.Holder }
func notBare(s Shape) bool   { return !s.Bare }

func peerCount(r *Run) float64     { return float64(r.Shape.Peers) }
func workerCount(r *Run) float64   { return float64(r.Shape.Workers) }
func listed(r *Run) float64        { return float64(r.Shape.Peers + r.Shape.Workers + 1) }
func exchangeCount(r *Run) float64 { return r.Idle.Rates["exchanges"] }

// Slopes returns all fits.
func (r *Results) Slopes() []Slope {
	peers, workers := float64(Target.Peers), float64(Target.Workers)
	return []Slope{
		r.slope(Slope{Name: "exchanges that the process starts", Unit: "1/s", X: "peers", File: "exchanges", Target: peers}, byPeers, peerCount, idle, rate("exchanges"), 1),
		r.slope(Slope{Name: "bytes of a bare exchange on the wire, sent", Unit: "B", X: "peers", File: "heartbeat", Target: peers}, bareFleet, peerCount, idle, bareBytes, 1),
		r.slope(Slope{Name: "CPU of bare exchanges and of the idle process", Unit: "% of a core", X: "peers", File: "cpu-bare", Target: peers}, bareFleet, peerCount, idle, rate("cpu"), 100),
		r.exchangeSlope(),
		r.slope(Slope{Name: "CPU, 20 workers", Unit: "% of a core", X: "peers", File: "cpu-peers", Target: peers}, byPeers, peerCount, idle, rate("cpu"), 100),
		r.slope(Slope{Name: "CPU, 359 peers", Unit: "% of a core", X: "workers", File: "cpu-workers", Target: workers}, byWorkers, workerCount, idle, rate("cpu"), 100),
		r.slope(Slope{Name: "CPU with one version move, 20 workers", Unit: "% of a core", X: "peers", File: "cpu-move", Target: peers}, byPeers, peerCount, move, rate("cpu"), 100),
		r.slope(Slope{Name: "demand in a digest", Unit: "KB", X: "peers", File: "demand", Target: peers}, byPeers, peerCount, idle, per("digest.demands", "exchanges"), 1e-3),
		r.slope(Slope{Name: "evidence in a digest, one move", Unit: "KB", X: "peers", File: "evidence", Target: peers}, byPeers, peerCount, move, per("digest.evidence", "exchanges"), 1e-3),
		r.slope(Slope{Name: "load reports in a digest, 359 peers", Unit: "KB", X: "workers", File: "loads", Target: workers}, byWorkers, workerCount, idle, per("digest.loads", "exchanges"), 1e-3),
		r.slope(Slope{Name: "bytes of one read of the instance list", Unit: "KB", X: "instances", File: "list", Target: peers + workers + 1}, notBare, listed, idle, per("body.instances", "calls.GET-instances"), 1e-3),
		r.slope(Slope{Name: "peak memory, 20 workers", Unit: "MB", X: "peers", File: "memory-peers", Target: peers}, byPeers, peerCount, idle, peak, 1e-6),
		r.slope(Slope{Name: "peak memory, 359 peers", Unit: "MB", X: "workers", File: "memory-workers", Target: workers}, byWorkers, workerCount, idle, peak, 1e-6),
		r.slope(Slope{Name: "peak memory with one version move, 20 workers", Unit: "MB", X: "peers", File: "memory-move", Target: peers}, byPeers, peerCount, move, peak, 1e-6),
		r.pathSlope(),
	}
}

// exchangeSlope is the CPU of a process whose digests are bare.
func (r *Results) exchangeSlope() Slope {
	return r.slope(Slope{Name: "CPU of bare exchanges", Unit: "% of a core", X: "exchanges/s", File: "cpu-exchange", Target: realExchanges},
		bareFleet, exchangeCount, idle, rate("cpu"), 100)
}

// pathSlope is the CPU of a request over the tokens of its response.
func (r *Results) pathSlope() Slope {
	s := Slope{Name: "CPU of a request", Unit: "ms", X: "tokens per request", File: "request", Target: tokensPerSecond / requestsPerSecond}
	for _, p := range r.Path {
		if p.Requests > 0 {
			s.Points = append(s.Points, Point{p.Tokens / p.Requests, 1e3 * p.CPU / p.Requests})
		}
	}
	s.finish()
	return s
}

// scale turns the rate of exchanges of the measured process, which only starts
// its own, into that of a real node.
func (r *Results) scale() float64 {
	return realExchanges / r.at(Target, idle, rate("exchanges")).Mean
}

// bothWays returns what a part of the digests takes on a real node at the
// target scale in both directions, in bytes per second: all nodes are alike,
// so that a node receives as much as it sends.
func (r *Results) bothWays(p phase, name string) Spread {
	return r.at(Target, p, rate(name)).times(2 * r.scale())
}

// inEffect returns the spread of the times until a change is in effect.
func (r *Results) inEffect() Spread {
	v, n := Spread{Least: math.Inf(1)}, 0
	for i := range r.Runs {
		for _, x := range r.Runs[i].InEffect {
			v.Mean += x
			v.Least, v.Largest = min(v.Least, x), max(v.Largest, x)
			n++
		}
	}
	v.Mean /= float64(max(n, 1))
	return v
}
