package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Post injects a fault over HTTP into the fake server at an address.
func Post(ctx context.Context, address string, f Fault) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/faults", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return fmt.Errorf("fault was rejected with status %d: %s", resp.StatusCode, bytes.TrimSpace(message))
	}
	return nil
}
