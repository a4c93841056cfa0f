package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a set of servers of known speed that one instance observes.
type fleet struct {
	baselines Baselines
	servers   []*Server
	speeds    []float64
	now       time.Time
	random    *rand.Rand
}

func newFleet(seed uint64, speeds ...float64) *fleet {
	f := &fleet{speeds: speeds, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	for range speeds {
		f.servers = append(f.servers, new(Server))
	}
	return f
}

// observe adds one stream of every server, with noise, in random order.
func (f *fleet) observe(period time.Duration) {
	f.now = f.now.Add(period)
	for _, i := range f.random.Perm(len(f.servers)) {
		f.stream(i)
	}
}

// stream adds the samples of one stream of server i.
func (f *fleet) stream(i int) {
	const promptTokensPerSecond, gap, noise = 157_000, 5e-3, 0.25
	vary := func(sigma float64) float64 { return math.Exp(sigma*f.random.NormFloat64()) / f.speeds[i] }
	tokens := int64(3_720)
	if f.random.IntN(5) == 0 {
		tokens = 17_020 // the prefix was not cached
	}
	first := 3e-3 + float64(tokens)/promptTokensPerSecond*vary(2*noise) + 0.02*f.random.ExpFloat64()
	f.add(i, Sample{Class: Class{Route: "r", Kind: FirstEvent, Size: SizeClass(tokens)}, Duration: seconds(first)})
	f.add(i, Sample{Class: Class{Route: "r", Kind: EventGap}, Duration: seconds(gap * vary(noise))})
}

func (f *fleet) add(i int, s Sample) { f.baselines.Add(f.servers[i], s, f.now) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against estimates that stay far from the speeds that servers have.
func TestSpeedsAreLearnt(t *testing.T) {
	speeds := make([]float64, 60)
	for i := range speeds {
		speeds[i] = 1
	}
	speeds[0], speeds[1], speeds[2] = 0.55, 0.3, 2
	f := newFleet(1, speeds...)
	for range 30 { // four minutes at the rate of one instance of 76
		f.observe(8 * time.Second)
	}
	for i, bounds := range map[int][2]float64{0: {0.5, 0.7}, 1: {0.3, 0.45}, 2: {1.5, 2.1}} {
		if got := f.servers[i].At(f.now); got < bounds[0] || got > bounds[1] {
			t.Errorf("server of speed %.2f: got %.2f, want %.2f to %.2f", speeds[i], got, bounds[0], bounds[1])
		}
	}
}

// Guards against noise that makes equal servers look unequal, which would move the
// preferred servers of prefixes.
func TestEqualServersHaveEqualSpeeds(t *testing.T) {
	speeds := make([]float64, 60)
	for i := range speeds {
		speeds[i] = 1
	}
	unequal, checks := 0, 0
	for seed := range uint64(10) {
		f := newFleet(seed, speeds...)
		for range 60 {
			f.observe(8 * time.Second)
			for _, s := range f.servers {
				checks++
				if s.At(f.now) != 1 {
					unequal++
				}
			}
		}
	}
	if unequal > checks/100 {
		t.Errorf("got %d of %d speeds other than 1, want at most 1%%", unequal, checks)
	}
}

// Guards against a speed that is kept when its evidence is old, or changed by one
// sample or by a garbled one.
func TestSpeedIsBoundedAndDecays(t *testing.T) {
	f := newFleet(1, 1, 1, 1, 1)
	for range 10 {
		f.observe(time.Second)
	}
	gap := Class{Route: "r", Kind: EventGap}
	before := f.servers[0].At(f.now)
	f.add(0, Sample{Class: gap, Duration: time.Hour})
	f.add(0, Sample{Class: gap, Duration: -time.Hour})
	if got := f.servers[0].At(f.now); got != before || got != 1 {
		t.Errorf("after one extreme sample: got %.2f, want 1", got)
	}
	for range 1000 {
		f.add(0, Sample{Class: gap, Duration: time.Hour})
		f.add(1, Sample{Class: gap, Duration: time.Nanosecond})
	}
	if slow, fast := f.servers[0].At(f.now), f.servers[1].At(f.now); slow < Min || slow > 0.5 || fast > Max || fast < 2 {
		t.Errorf("after extreme samples: got %.2f and %.2f, want the bounds %.2f and %.2f", slow, fast, Min, Max)
	}
	f.now = f.now.Add(20 * time.Minute)
	for i, s := range f.servers {
		if got := s.At(f.now); got != 1 {
			t.Errorf("server %d without samples: got %.2f, want 1", i, got)
		}
	}
}

// Guards against a server that answers so late that requests are given up, and which
// therefore never seems slow.
func TestUnansweredRequestsCount(t *testing.T) {
	f := newFleet(1, 1, 1, 1)
	for range 20 {
		f.observe(time.Second)
	}
	class := Class{Route: "r", Kind: FirstEvent, Size: SizeClass(3_720)}
	for range 40 {
		f.add(0, Sample{Class: class, Duration: 500 * time.Millisecond, Minimum: true})
		f.add(1, Sample{Class: class, Duration: time.Microsecond, Minimum: true})
	}
	if slow, other := f.servers[0].At(f.now), f.servers[1].At(f.now); slow >= 1 || other != 1 {
		t.Errorf("got %.2f after long waits and %.2f after short ones, want less than 1 and 1", slow, other)
	}
}

// Guards against classes without end, which clients could cause.
func TestClassesAreBounded(t *testing.T) {
	var b Baselines
	var s Server
	for i := range 3 * maxClasses {
		b.Add(&s, Sample{Class: Class{Route: fmt.Sprint(i)}, Duration: time.Second}, time.Unix(1000, 0))
	}
	if len(b.classes) > maxClasses {
		t.Errorf("got %d classes, want at most %d", len(b.classes), maxClasses)
	}
	if a, z := SizeClass(0), SizeClass(math.MaxInt64); a != 0 || z < 100 {
		t.Errorf("got size classes %d and %d, want 0 and the highest", a, z)
	}
}

func BenchmarkSpeed(b *testing.B) {
	f := newFleet(1, 1, 0.55)
	for range 20 {
		f.observe(time.Second)
	}
	for b.Loop() {
		f.servers[1].At(f.now)
	}
}
