package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	decide "wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/internal/platform/kv/kvtest"
)

// slowStore delays each Get and Put by storeLatency.
type slowStore struct{ *kvtest.Store }

const storeLatency = 3 * time.Millisecond

func (s slowStore) Get(ctx context.Context, key string) (kv.Value, error) {
	time.Sleep(storeLatency)
	return s.Store.Get(ctx, key)
}

func (s slowStore) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	time.Sleep(storeLatency)
	return s.Store.Put(ctx, key, data, ifRevision)
}

// BenchmarkStoreWrites measures the store calls per journalled call and the
// latency of reservations, compared to separate store writes for each call. An
// iteration is 3 s of open-loop arrivals at nine instances.
func BenchmarkStoreWrites(b *testing.B) {
	for _, rate := range []int{10, 100, 260} {
		b.Run(fmt.Sprintf("rate=%d/write-per-call", rate), func(b *testing.B) {
			store := slowStore{kvtest.New()}
			measureCalls(b, store, rate, func(n, _ int) {
				key := fmt.Sprint("journal/", n)
				revision, _ := store.Put(b.Context(), key, nil, 0)
				_, _ = store.Put(b.Context(), key, nil, revision)
			}, nil)
		})
		for _, shards := range []uint32{1, 16, 64} {
			for _, completionDelay := range []time.Duration{0, time.Second} {
				// The name complete-gap stands for CompletionDelay. It is kept so
				// that results can be compared with earlier ones.
				b.Run(fmt.Sprintf("rate=%d/shards=%d/complete-gap=%v", rate, shards, completionDelay), func(b *testing.B) {
					store := slowStore{kvtest.New()}
					_, js := newMesh(b, 9, journal.Config{Store: store, Shards: shards, CompletionDelay: completionDelay})
					measureCalls(b, store, rate, nil, js)
				})
			}
		}
	}
}

// measureCalls makes calls at random times, rate per second on average, and
// reports the store calls and latencies. It reserves and completes each call with
// one of js, or calls writeDirectly instead if that is not nil. The arguments of
// writeDirectly are the numbers of the call and of the instance that receives it.
func measureCalls(b *testing.B, store slowStore, rate int, writeDirectly func(n, instance int), js []*journal.Journal) {
	var mu sync.Mutex
	var latencies []time.Duration
	failed := 0
	calls := 0
	for b.Loop() {
		random := rand.New(rand.NewPCG(1, 1))
		var wg sync.WaitGroup
		start := time.Now()
		for at := time.Duration(0); at < 3*time.Second; at += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)) {
			time.Sleep(time.Until(start.Add(at)))
			n := calls
			calls++
			wg.Go(func() {
				if writeDirectly != nil {
					writeDirectly(n, n%9)
					return
				}
				j, id, started := js[n%len(js)], fmt.Sprint("a", n), time.Now()
				r, err := j.Reserve(b.Context(), testKey(n), id, 1)
				took := time.Since(started)
				mu.Lock()
				latencies = append(latencies, took)
				if err != nil || r.Status != decide.Reserved {
					failed++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				_, _ = j.Complete(b.Context(), testKey(n), id, false, &decide.Response{Status: 201, Body: make([]byte, 200)})
			})
		}
		wg.Wait()
	}
	total := store.Calls()
	b.ReportMetric(float64(total.Put)/float64(calls), "writes/call")
	b.ReportMetric(float64(total.Put)/(3*float64(b.N)), "writes/s")
	b.ReportMetric(float64(total.Get)/float64(calls), "reads/call")
	b.ReportMetric(float64(failed), "failed")
	if len(latencies) > 0 {
		slices.Sort(latencies)
		b.ReportMetric(float64(latencies[len(latencies)*95/100].Microseconds())/1000, "p95-ms")
	}
}
