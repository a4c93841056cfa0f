package backlog

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func add(l *Ledger, server string, request uint64, tokens int64, limit Backlog, now time.Time) (Reading, bool) {
	return l.Add(Claim{Server: server, Request: request, Tokens: tokens, Prefix: 7, Deadline: now.Add(10 * time.Second)}, limit, now)
}

// Guards against work that is counted for another server, twice, or after it ended.
func TestLedgerCountsTheWorkOfEachServer(t *testing.T) {
	var l Ledger
	add(&l, "a", 1, 1000, Unlimited, epoch)
	add(&l, "a", 2, 500, Unlimited, epoch)
	if _, added := add(&l, "a", 2, 500, Unlimited, epoch); added {
		t.Error("the same claim was added twice")
	}
	if r, _ := add(&l, "b", 3, 1, Unlimited, epoch); r.Backlog != (Backlog{}) {
		t.Errorf("server without claims: got %+v, want none", r.Backlog)
	}
	read := func() Backlog {
		r, _ := add(&l, "a", 99, 0, Backlog{-1, -1}, epoch)
		return r.Backlog
	}
	if got, want := read(), (Backlog{1500, 2}); got != want {
		t.Errorf("two claims: got %+v, want %+v", got, want)
	}
	l.Processed("a", 1)
	l.Processed("a", 1)
	if got, want := read(), (Backlog{500, 2}); got != want {
		t.Errorf("after one prompt: got %+v, want %+v", got, want)
	}
	l.End("a", 1)
	l.End("a", 2)
	l.End("a", 2)
	if got := read(); got != (Backlog{}) || l.Len() != 1 {
		t.Errorf("after both ended: got %+v with %d claims, want none with 1", got, l.Len())
	}
}

// Guards against a claim above its limit that is added all the same.
func TestLedgerKeepsToTheLimit(t *testing.T) {
	var l Ledger
	add(&l, "a", 1, 1000, Unlimited, epoch)
	for _, tt := range []struct {
		limit Backlog
		want  bool
	}{{Backlog{999, 10}, false}, {Backlog{5000, 0}, false}, {Backlog{1000, 1}, true}} {
		if _, added := add(&l, "a", 2, 1, tt.limit, epoch); added != tt.want {
			t.Errorf("backlog of 1000 tokens and 1 request with limit %+v: added is %v, want %v", tt.limit, added, tt.want)
		}
	}
}

// Guards against claims of instances that were killed, or whose reports were lost, which
// would make a server look busy for ever.
func TestClaimsExpire(t *testing.T) {
	var l Ledger
	add(&l, "a", 1, 1000, Unlimited, epoch)
	for after, want := range map[time.Duration]Backlog{
		promptLifetime - 1: {1000, 1}, promptLifetime: {0, 1}, 10 * time.Second: {},
	} {
		var c Ledger
		add(&c, "a", 1, 1000, Unlimited, epoch)
		if r, _ := add(&c, "a", 2, 0, Backlog{-1, -1}, epoch.Add(after)); r.Backlog != want {
			t.Errorf("%v after the claim: got %+v, want %+v", after, r.Backlog, want)
		}
	}
	l.Expire(epoch.Add(time.Hour))
	if l.Len() != 0 || len(l.servers) != 0 || len(l.prefixes) != 0 {
		t.Errorf("after an hour: got %d claims, %d servers and %d prefixes, want none", l.Len(), len(l.servers), len(l.prefixes))
	}
}

// Guards against peers that fill the memory of a tracker with claims or prefixes.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for n := range uint64(maxClaims + 1000) {
		l.Add(Claim{Server: "a", Request: n, Prefix: n + 1, Deadline: epoch.Add(time.Hour)}, Unlimited, epoch)
		l.SetHolder("b", n+1, "c", epoch)
	}
	if l.Len() > maxClaims || len(l.prefixes) > maxPrefixes {
		t.Errorf("got %d claims and %d prefixes, want at most %d and %d", l.Len(), len(l.prefixes), maxClaims, maxPrefixes)
	}
}

// Guards against a prefix that is looked for at a server that never had it, although
// another one has.
func TestLedgerKnowsWhereAPrefixIs(t *testing.T) {
	var l Ledger
	if r, _ := add(&l, "a", 1, 1, Backlog{-1, -1}, epoch); r.Cached || r.Holder != "" {
		t.Errorf("unknown prefix: got %+v, want neither cached nor a holder", r)
	}
	l.SetHolder("a", 7, "b", epoch)
	if r, _ := add(&l, "a", 1, 1, Unlimited, epoch); r.Cached || r.Holder != "b" {
		t.Errorf("prefix at another server: got %+v, want holder b", r)
	}
	if r, _ := add(&l, "a", 2, 1, Unlimited, epoch); !r.Cached {
		t.Errorf("after a claim: got %+v, want cached", r)
	}
	if r, _ := add(&l, "a", 3, 1, Unlimited, epoch.Add(prefixLifetime)); r.Cached || r.Holder != "" {
		t.Errorf("after %v: got %+v, want neither", prefixLifetime, r)
	}
}
