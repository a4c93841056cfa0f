package matrix

import (
	"strings"
	"testing"
	"time"
)

// Guards against cells that cannot be selected by name because the name is
// missing or not unique.
func TestCellNames(t *testing.T) {
	seen := make(map[string]bool)
	for _, c := range Cells() {
		if seen[c.Name] || c.Name == "" || c.Fault == "" {
			t.Errorf("cell %q (%s): the name is not unique, or a text is missing", c.Name, c.Fault)
		}
		seen[c.Name] = true
	}
	if _, err := Find("absent"); err == nil {
		t.Error("Find of an absent cell succeeded, want an error")
	}
}

// Guards against a table that shows a violated or unchecked guarantee as proved.
func TestWriteTable(t *testing.T) {
	var b strings.Builder
	results := []Result{
		{Cell: "a", Fault: "fault a", Seed: 7, Violations: []string{"guarantee 3: cut\noff"}, Verdicts: map[Guarantee]Verdict{CorrectResponse: Failed, RejectedNotRun: Passed}},
	}
	for _, g := range Guarantees {
		if results[0].Verdicts[g] == "" {
			results[0].Verdicts[g] = NotCovered
		}
	}
	if err := WriteTable(&b, results, time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"| fault a | - | - | failed | proved | - | - | - | - | - | `bin/matrix --cell a --seed 7` |\n",
		"  - guarantee 3: cut off\n",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, &b)
		}
	}
}
