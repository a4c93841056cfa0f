package scaling

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
)

// WriteResults writes the results to capacity/results.json in the directory output.
func WriteResults(output string, r *Results) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(output, "capacity"), 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(output, "capacity", "results.json"), append(data, '\n'), 0o644)
}

// ReadResults reads the results that WriteResults wrote. It fails if the runs, the
// request path or the package measurements are missing.
func ReadResults(output string) (*Results, error) {
	data, err := os.ReadFile(filepath.Join(output, "capacity", "results.json"))
	if err != nil {
		return nil, err
	}
	r := new(Results)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, err
	}
	if len(r.Runs) == 0 || len(r.Path) == 0 || r.Packages == nil {
		return nil, errors.New("capacity/results.json lacks the runs, the request path or the package measurements")
	}
	return r, nil
}
