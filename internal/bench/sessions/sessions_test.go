package sessions

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
)

const (
	chatPath        = "/v1/chat/completions"
	completionsPath = "/v1/completions"
	bookingPath     = "/v1/services/" + serviceEntry + "/bookings"
	chatBody        = `{"model":"stetec-ai","messages":[{"role":"user","content":"When does the fair open?"}],"max_tokens":5}`
	streamBody      = `{"model":"stetec-ai","messages":[{"role":"user","content":"Which stalls are free?"}],"max_tokens":6,"stream":true}`
	textBody        = `{"model":"stetec-ai","prompt":"The fair opens","max_tokens":4,"stream":true,"stream_options":{"include_usage":true}}`
	bookingBody     = `{"stall":14,"day":"2026-12-06"}`
)

// chat and book return usual requests.
func chat(body string) request {
	return request{method: http.MethodPost, path: chatPath, token: fairsToken, body: body}
}

func book(via int, key, body string) request {
	return request{via: via, method: http.MethodPost, path: bookingPath, token: fairsToken, key: key, body: body}
}

// note is a step that only tells what the next steps are about.
func note(text string) step {
	return func(x *session) { x.printf("# %s\n\n", text) }
}

// stall stops all engines before the token with an index.
func stall(index string) step {
	return func(x *session) {
		for _, e := range x.engines {
			if err := e.Inject(fault.Fault{Kind: fault.Stall, Value: index}); err != nil {
				x.t.Fatal(err)
			}
		}
	}
}

func clearEngines(x *session) {
	for _, e := range x.engines {
		e.Clear()
	}
}

// runs is a step that prints how often the service ran a key.
func runs(key string) step {
	return func(x *session) { x.printf("# runs of %s: %d\n\n", key, x.service.Runs()[key]) }
}

// Guards against responses whose form or content changes for clients.
func TestCompletion(t *testing.T) {
	play(t,
		note("a chat completion, whole and streamed"),
		send(chat(chatBody)),
		send(chat(streamBody)),
		note("a text completion, streamed with its usage through another instance"),
		send(request{via: 1, method: http.MethodPost, path: completionsPath, token: fairsToken, body: textBody}),
	)
}

// Guards against a resumed stream with a missing, repeated or foreign token.
func TestResume(t *testing.T) {
	cut := chat(streamBody)
	cut.after, cut.event = 3, "the client leaves"
	resumed := chat(streamBody)
	resumed.resume = "{stream}:3"
	otherBody := chat(chatBody)
	otherBody.resume = "{stream}:3"
	invalid := chat(streamBody)
	invalid.resume = "3"
	play(t,
		stall("3"),
		send(cut),
		clearEngines,
		send(resumed),
		note("an ID with another body, and no ID of a stream"),
		send(otherBody),
		send(invalid),
	)
}

// Guards against a booking that runs twice when it is sent again.
func TestBooking(t *testing.T) {
	play(t,
		send(book(0, "booking-1", bookingBody)),
		note("sent again through another instance"),
		send(book(1, "booking-1", bookingBody)),
		note("the same key with another body"),
		send(book(0, "booking-1", `{"stall":15}`)),
		send(book(1, "booking-1", `{"stall":15}`)),
		runs("booking-1"),
	)
}

// Guards against rejections that run, or that clients cannot tell apart.
func TestRejections(t *testing.T) {
	noToken, invalidToken := chat(chatBody), chat(chatBody)
	noToken.token, invalidToken.token = "", "other-token"
	limited := chat(chatBody)
	limited.token = millsToken
	large := chat(fmt.Sprintf(`{"model":"stetec-ai","prompt":%q}`, strings.Repeat("x", 1<<20)))
	play(t,
		send(noToken),
		send(invalidToken),
		send(chat(strings.Replace(chatBody, languageEntry, "other", 1))),
		send(chat("not JSON")),
		send(large),
		note("a booking without a key and one with a large body"),
		send(book(0, "", bookingBody)),
		send(book(0, "booking-1", strings.Repeat("x", 1<<20+1))),
		runs("booking-1"),
		note("the second request reaches the limit"),
		send(limited),
		send(limited),
	)
}

// Guards against a booking that runs without a record of its intent, and
// against one that cannot be made after the outage.
func TestStoreOutage(t *testing.T) {
	after := book(0, "booking-1", bookingBody)
	after.again = http.StatusServiceUnavailable
	play(t,
		note("the store is away"),
		func(x *session) {
			if err := x.platform.Inject(fault.Fault{Kind: platform.Outage, Target: "kv"}); err != nil {
				x.t.Fatal(err)
			}
		},
		send(book(0, "booking-1", bookingBody)),
		runs("booking-1"),
		send(chat(chatBody)),
		note("the store is back; the client repeats what was not run"),
		func(x *session) { x.platform.Clear() },
		send(after),
		send(book(1, "booking-1", bookingBody)),
		runs("booking-1"),
	)
}

// Guards against a response that lacks or repeats tokens when the engine that
// generates it dies.
func TestEngineDies(t *testing.T) {
	stream := chat(streamBody)
	stream.after, stream.event = 3, "the engine that generates the response dies"
	stream.do = func(x *session) {
		for _, e := range x.engines {
			if e.generating.Load() > 0 {
				e.die()
			}
		}
		clearEngines(x)
	}
	play(t,
		earnRetry,
		stall("3"),
		send(stream),
		func(x *session) {
			if x.engines[0].dead == x.engines[1].dead {
				x.t.Errorf("engines are dead: %v and %v, want one", x.engines[0].dead, x.engines[1].dead)
			}
		},
	)
}

// earnRetry makes requests until the retry budget of each engine, a tenth of
// its first attempts, allows a retry.
func earnRetry(x *session) {
	n := 0
	x.eventually("each engine has received 10 requests", func() bool {
		n++
		p, body := x.exchange(chat(fmt.Sprintf(`{"model":"stetec-ai","messages":[{"role":"user","content":"%d"}],"max_tokens":1}`, n)))
		if p.StatusCode != http.StatusOK {
			x.t.Fatalf("request %d: status %d: %s", n, p.StatusCode, body)
		}
		for _, e := range x.engines {
			if len(e.Runs()) < 10 {
				return false
			}
		}
		return true
	})
}

// Guards against a bad version that is kept, and against a rollback whose
// reason operators cannot read.
func TestVersionMove(t *testing.T) {
	play(t,
		func(x *session) {
			for _, e := range x.engines {
				if err := e.Inject(fault.Fault{Kind: fault.Fail, Version: newVersion}); err != nil {
					x.t.Fatal(err)
				}
			}
		},
		apply("Jana", settings{version: newVersion, moveBy: time.Now().Add(time.Hour)}),
		showMoves(admin.PhaseRunning),
		note("the new version fails all its requests"),
		traffic,
		showMoves(admin.PhaseRolledBack),
		send(chat(chatBody)),
		servedBy(oldVersion),
	)
}

// traffic sends requests of many conversations until the move is rolled back.
func traffic(x *session) {
	var done atomic.Bool
	var next atomic.Int64
	var wg sync.WaitGroup
	for via := range x.entries {
		for range 4 {
			wg.Go(func() {
				for !done.Load() {
					r := chat(fmt.Sprintf(`{"model":"stetec-ai","messages":[{"role":"user","content":"fair %d"}],"max_tokens":1}`, next.Add(1)))
					r.via = via
					x.exchange(r) // some fail; that is the evidence
				}
			})
		}
	}
	defer wg.Wait()
	defer done.Store(true)
	x.eventually("the move is rolled back", func() bool {
		s := x.status(x.entries[0])
		return len(s.Moves) == 1 && s.Moves[0].Phase == admin.PhaseRolledBack
	})
}

// servedBy is a step that checks which version ran the session's chat.
func servedBy(version string) step {
	return func(x *session) {
		hash := engine.PromptHash("user: When does the fair open?\n")
		for _, e := range x.engines {
			for _, r := range e.Runs() {
				if r.Prompt == hash && r.Version != version {
					x.t.Errorf("the chat ran on version %s, want %s", r.Version, version)
				}
			}
		}
	}
}

// Guards against an apply that silently undoes another operator's change.
func TestOperatorConflict(t *testing.T) {
	play(t, conflict(settings{owner: "Petr"}, settings{owner: "Asha"}))
}
