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

// maxPoisonCrashes is the number of engines that a poison request may crash:
// after the first crash it is suspected, after the second it is rejected.
const maxPoisonCrashes = 2

func poisonCells() []*Cell {
	return []*Cell{{
		Name: "poison", Fault: "a request that crashes its engine is sent again through all entry instances; engines restart after 1 s",
		engineArgs: []string{"--restart", "--restart-delay", "1s", "--fault", "crash-on=" + load.PoisonMarker},
		script: func(ctx, _ context.Context, t *trial) error {
			for _, e := range t.topology.EntryInstances {
				status, outcome, err := t.sendPoison(ctx, e)
				if err != nil {
					return err
				}
				t.check(CorrectResponse, status != http.StatusOK, "the poison request was answered")
				t.note("poison at %s: status %d, outcome %q", e.ID, status, outcome)
				time.Sleep(settleTime / 5)
			}
			time.Sleep(2 * time.Second)
			crashes, err := t.crashes(ctx)
			if err != nil {
				return err
			}
			t.check(CorrectResponse, crashes >= 1 && crashes <= maxPoisonCrashes, "%d crashes, want 1 or 2", crashes)
			t.note("%d crashes", crashes)
			return nil
		},
		verify: func(_ context.Context, t *trial) {
			n := t.report.Codes["poison_request"]
			t.check(CorrectResponse, n == 0, "%d regular requests were rejected as poison", n)
		},
	}}
}

func (t *trial) sendPoison(ctx context.Context, e demo.EntryInstance) (status int, outcome string, err error) {
	body := fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":"a request with the %s"}],"max_tokens":20}`, languageEntry, load.PoisonMarker)
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.ClientAddress+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+t.mix.Workspaces[0].Token())
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get("Wasabiworks-Outcome"), err
}

// crashes returns the total number of crashes of all engines.
func (t *trial) crashes(ctx context.Context) (int, error) {
	sum := 0
	for _, e := range t.topology.Engines {
		data, err := demo.Fetch(ctx, "http://"+e.Address+"/load")
		if err != nil {
			return 0, err
		}
		var l struct {
			Crashes int `json:"crashes"`
		}
		if err := json.Unmarshal(data, &l); err != nil {
			return 0, fmt.Errorf("decode the load of %s: %w", e.ID, err)
		}
		sum += l.Crashes
	}
	return sum, nil
}
