package transcripts

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

// chat returns a chat completion request of the workspace fairs.
func chat(body string) request {
	return request{method: http.MethodPost, path: chatPath, token: fairsToken, body: body}
}

// book returns a booking request of the workspace fairs.
func book(entryIndex int, key, body string) request {
	return request{entryIndex: entryIndex, method: http.MethodPost, path: bookingPath, token: fairsToken, key: key, body: body}
}

// note is a step that only adds a comment to the transcript.
func note(text string) step {
	return func(sn *session) { sn.printf("# %s\n\n", text) }
}

// stallEngines is a step that makes all engines stall before the token with the
// given index.
func stallEngines(index string) step {
	return func(sn *session) {
		for _, e := range sn.engines {
			if err := e.Inject(fault.Fault{Kind: fault.Stall, Value: index}); err != nil {
				sn.t.Fatal(err)
			}
		}
	}
}

// clearEngines is a step that removes the faults of all engines.
func clearEngines(sn *session) {
	for _, e := range sn.engines {
		e.Clear()
	}
}

// printRuns is a step that prints how often the service ran the call with a key.
func printRuns(key string) step {
	return func(sn *session) { sn.printf("# runs of %s: %d\n\n", key, sn.service.Runs()[key]) }
}

// Guards against unintended changes of the format or content of responses.
func TestCompletion(t *testing.T) {
	runSession(t,
		note("a chat completion, unstreamed and streamed"),
		send(chat(chatBody)),
		send(chat(streamBody)),
		note("a text completion, streamed with its usage through another instance"),
		send(request{entryIndex: 1, method: http.MethodPost, path: completionsPath, token: fairsToken, body: textBody}),
	)
}

// Guards against a resumed stream with missing or repeated tokens, or with tokens
// of another stream.
func TestResume(t *testing.T) {
	cut := chat(streamBody)
	cut.afterTokens, cut.eventText = 3, "the client disconnects"
	resumed := chat(streamBody)
	resumed.lastEventID = "{stream}:3"
	otherBody := chat(chatBody)
	otherBody.lastEventID = "{stream}:3"
	invalid := chat(streamBody)
	invalid.lastEventID = "3"
	runSession(t,
		stallEngines("3"),
		send(cut),
		clearEngines,
		send(resumed),
		note("the ID of a stream with another body, and an invalid ID"),
		send(otherBody),
		send(invalid),
	)
}

// Guards against a booking that runs twice when it is retried with the same key.
func TestBooking(t *testing.T) {
	runSession(t,
		send(book(0, "booking-1", bookingBody)),
		note("sent again through another instance"),
		send(book(1, "booking-1", bookingBody)),
		note("the same key with another body"),
		send(book(0, "booking-1", `{"stall":15}`)),
		send(book(1, "booking-1", `{"stall":15}`)),
		printRuns("booking-1"),
	)
}

// Guards against rejected requests that run anyway, and against rejections that
// clients cannot distinguish.
func TestRejections(t *testing.T) {
	noToken, invalidToken := chat(chatBody), chat(chatBody)
	noToken.token, invalidToken.token = "", "other-token"
	limited := chat(chatBody)
	limited.token = millsToken
	large := chat(fmt.Sprintf(`{"model":"stetec-ai","prompt":%q}`, strings.Repeat("x", 1<<20)))
	runSession(t,
		send(noToken),
		send(invalidToken),
		send(chat(strings.Replace(chatBody, languageEntry, "other", 1))),
		send(chat("not JSON")),
		send(large),
		note("a booking without a key and one with a large body"),
		send(book(0, "", bookingBody)),
		send(book(0, "booking-1", strings.Repeat("x", 1<<20+1))),
		printRuns("booking-1"),
		note("the second request reaches the limit"),
		send(limited),
		send(limited),
	)
}

// Guards against a booking that runs during a store outage although it could not
// be recorded in the journal, and against one that fails after the outage.
func TestStoreOutage(t *testing.T) {
	afterOutage := book(0, "booking-1", bookingBody)
	afterOutage.retryStatus = http.StatusServiceUnavailable
	runSession(t,
		note("the store is unavailable"),
		func(sn *session) {
			if err := sn.platform.Inject(fault.Fault{Kind: platform.Outage, Target: "kv"}); err != nil {
				sn.t.Fatal(err)
			}
		},
		send(book(0, "booking-1", bookingBody)),
		printRuns("booking-1"),
		send(chat(chatBody)),
		note("the store is available again; the client retries the call that was not run"),
		func(sn *session) { sn.platform.Clear() },
		send(afterOutage),
		send(book(1, "booking-1", bookingBody)),
		printRuns("booking-1"),
	)
}

// Guards against a response with missing or repeated tokens after a crash of the
// engine that generates it.
func TestEngineCrash(t *testing.T) {
	stream := chat(streamBody)
	stream.afterTokens, stream.eventText = 3, "the engine that generates the response crashes"
	stream.action = func(sn *session) {
		for _, e := range sn.engines {
			if e.inFlight.Load() > 0 {
				e.crash()
			}
		}
		clearEngines(sn)
	}
	runSession(t,
		fillRetryBudgets,
		stallEngines("3"),
		send(stream),
		func(sn *session) {
			if sn.engines[0].crashed == sn.engines[1].crashed {
				sn.t.Errorf("engines crashed: %v and %v, want exactly one", sn.engines[0].crashed, sn.engines[1].crashed)
			}
		},
	)
}

// fillRetryBudgets is a step that sends requests until the retry budget of each
// engine, a tenth of its first attempts, allows one retry.
func fillRetryBudgets(sn *session) {
	n := 0
	sn.eventually("each engine has received 10 requests", func() bool {
		n++
		res, body := sn.exchange(chat(fmt.Sprintf(`{"model":"stetec-ai","messages":[{"role":"user","content":"%d"}],"max_tokens":1}`, n)))
		if res.StatusCode != http.StatusOK {
			sn.t.Fatalf("request %d: status %d: %s", n, res.StatusCode, body)
		}
		for _, e := range sn.engines {
			if len(e.Runs()) < 10 {
				return false
			}
		}
		return true
	})
}

// Guards against a bad version that is not rolled back, and against a rollback
// whose reason is missing in the status.
func TestVersionMove(t *testing.T) {
	runSession(t,
		func(sn *session) {
			for _, e := range sn.engines {
				if err := e.Inject(fault.Fault{Kind: fault.Fail, Version: newVersion}); err != nil {
					sn.t.Fatal(err)
				}
			}
		},
		applyCatalogue("Jana", settings{version: newVersion, moveBy: time.Now().Add(time.Hour)}),
		showMoves(admin.PhaseRunning),
		note("the new version fails all its requests"),
		sendUntilRollback,
		showMoves(admin.PhaseRolledBack),
		send(chat(chatBody)),
		servedBy(oldVersion),
	)
}

// sendUntilRollback is a step that sends requests until the move is rolled back.
// Each request has its own prompt, because repeated failures of one conversation
// are no evidence against a version.
func sendUntilRollback(sn *session) {
	var done atomic.Bool
	var next atomic.Int64
	var wg sync.WaitGroup
	for entryIndex := range sn.entries {
		for range 4 {
			wg.Go(func() {
				for !done.Load() {
					r := chat(fmt.Sprintf(`{"model":"stetec-ai","messages":[{"role":"user","content":"fair %d"}],"max_tokens":1}`, next.Add(1)))
					r.entryIndex = entryIndex
					sn.exchange(r) // failures are expected: they are the evidence against the version
				}
			})
		}
	}
	defer wg.Wait()
	defer done.Store(true)
	sn.eventually("the move is rolled back", func() bool {
		s := sn.status(sn.entries[0])
		return len(s.Moves) == 1 && s.Moves[0].Phase == admin.PhaseRolledBack
	})
}

// servedBy is a step that checks that the prompt of chatBody ran only on the given
// version.
func servedBy(version string) step {
	return func(sn *session) {
		hash := engine.PromptHash("user: When does the fair open?\n")
		for _, e := range sn.engines {
			for _, r := range e.Runs() {
				if r.Prompt == hash && r.Version != version {
					sn.t.Errorf("the chat ran on version %s, want %s", r.Version, version)
				}
			}
		}
	}
}

// Guards against an apply that silently overwrites another operator's change.
func TestOperatorConflict(t *testing.T) {
	runSession(t, applyConflicting(settings{owner: "Petr"}, settings{owner: "Asha"}))
}
