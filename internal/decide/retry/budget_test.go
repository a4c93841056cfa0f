package retry

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against retries that add more than a tenth to the load of a failing
// server, at any time and for any order of attempts and failures.
func TestBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		attempts, retries := 0, 0
		for _, deposit := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "deposits") {
			if deposit {
				b.Deposit()
				attempts++
			} else if b.Withdraw() {
				retries++
			}
			if 10*retries > attempts {
				t.Fatalf("%d retries after %d attempts, want at most a tenth", retries, attempts)
			}
		}
	})
}

// Guards against concurrent callers that spend the same retry twice, and
// against retries that are lost.
func TestBudgetConcurrent(t *testing.T) {
	is := is.New(t)
	var b Budget
	var retries atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.Deposit()
				if b.Withdraw() {
					retries.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(retries.Load(), int64(800))
}

// Guards against a burst of retries after a long period of success.
func TestBudgetLimitsAccumulatedRetries(t *testing.T) {
	is := is.New(t)
	var b Budget
	for range 100000 {
		b.Deposit()
	}
	retries := 0
	for b.Withdraw() {
		retries++
	}
	is.Equal(retries, 10)
}

// Guards against a new budget that allows no retries, or too many.
func TestFillAllowsInitialRetries(t *testing.T) {
	var b Budget
	b.Fill()
	got := 0
	for b.Withdraw() {
		got++
	}
	if got != initialRetries {
		t.Errorf("a filled budget allows %d retries, want %d", got, initialRetries)
	}
}
