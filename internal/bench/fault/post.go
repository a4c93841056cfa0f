package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Post injects a fault into the fake at an address.
func Post(ctx context.Context, address string, f Fault) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/faults", bytes.NewReader(data))
	if err != nil {
		return err
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode/100 != 2 {
		message, _ := io.ReadAll(io.LimitReader(p.Body, 200))
		return fmt.Errorf("status %d: %s", p.StatusCode, bytes.TrimSpace(message))
	}
	return nil
}
