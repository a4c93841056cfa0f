package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
	"wasabiworks.example/wasabiworks/internal/bench/load"
)

// maxPoisonCrashes is the number of engines that a poison request may crash: the
// first crash makes it a suspect, the second is the proof.
const maxPoisonCrashes = 2

func poisonCells() []*Cell {
	return []*Cell{{
		Name: "poison", Fault: "a request that crashes its engine is sent again through all entry instances; engines restart after 1 s",
		engineArgs: []string{"--restart", "--restart-delay", "1s", "--fault", "crash-on=" + load.PoisonMarker},
		script: func(ctx, _ context.Context, t *trial) error {
			for _, e := range t.top.Entries {
				status, outcome, err := t.sendPoison(ctx, e)
				if err != nil {
					return err
				}
				t.check(OwnResponse, status != http.StatusOK, "the poison request was answered")
				t.note("poison at %s: status %d, outcome %q", e.ID, status, outcome)
				time.Sleep(settle / 5)
			}
			time.Sleep(2 * time.Second)
			crashes, err := t.crashes(ctx)
			if err != nil {
				return err
			}
			t.check(OwnResponse, crashes >= 1 && crashes <= maxPoisonCrashes, "%d crashes, want 1 or 2", crashes)
			t.note("%d crashes", crashes)
			return nil
		},
		verify: func(_ context.Context, t *trial) {
			n := t.report.Codes["poison_request"]
			t.check(OwnResponse, n == 0, "%d requests of the load were rejected as poison", n)
		},
	}}
}

func (t *trial) sendPoison(ctx context.Context, e demo.EntryInstance) (status int, outcome string, err error) {
	body := fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"a request with the %s"}],"max_tokens":20}`, languageEntry, load.PoisonMarker)
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Client+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Authorization", "Bearer "+t.mix.Workspaces[0].Token())
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = p.Body.Close() }()
	_, err = io.Copy(io.Discard, p.Body)
	return p.StatusCode, p.Header.Get("Wasabiworks-Outcome"), err
}

// crashes adds up the crashes of all engines.
func (t *trial) crashes(ctx context.Context) (int, error) {
	sum := 0
	for _, e := range t.top.Engines {
		data, err := demo.Fetch(ctx, "http://"+e.Address+"/load")
		if err != nil {
			return 0, err
		}
		var l struct {
			Crashes int `json:"crashes"`
		}
		if err := json.Unmarshal(data, &l); err != nil {
			return 0, fmt.Errorf("load of %s: %w", e.ID, err)
		}
		sum += l.Crashes
	}
	return sum, nil
}
