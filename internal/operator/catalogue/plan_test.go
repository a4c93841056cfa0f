package catalogue

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

// step is one apply of a catalogue with a version and deadline for one entry.
type step struct {
	after   time.Duration // since start
	version string
	moveBy  time.Duration // since start
	veto    bool          // whether the latest move was vetoed before the step
}

func (s step) apply(t *testing.T, previous *Catalogue) *Catalogue {
	t.Helper()
	next := clone(previous)
	e := &next.Entries[1]
	e.Version, e.MoveBy = s.version, start.Add(s.moveBy)
	c, _, err := Successor(previous, 1, next, Change{Operation: "op", Changed: start.Add(s.after)}, func(string) bool { return s.veto })
	if err != nil {
		t.Fatalf("Successor(%+v) = %v", s, err)
	}
	return c
}

// Guards against a move that starts from a version that is not known to be good,
// and against a later apply that sends traffic to a vetoed version.
func TestMovesFollowVersionChanges(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		want  string // from>to@deadline of the move after the last step, "" for none
		ended EndedMoves
	}{
		{"change", []step{{0, "v2", time.Hour, false}}, "v1>v2@1h0m0s", EndedMoves{}},
		{"no change", []step{{0, "v1", time.Hour, false}}, "", EndedMoves{}},
		{"changed again in progress", []step{{0, "v2", time.Hour, false}, {time.Minute, "v3", 2 * time.Hour, false}}, "v1>v3@2h0m0s", EndedMoves{Replaced: 1}},
		{"changed again after it is done", []step{{0, "v2", time.Hour, false}, {90 * time.Minute, "v3", 2 * time.Hour, false}}, "v2>v3@2h0m0s", EndedMoves{Done: 1}},
		{"changed again after a veto", []step{{0, "v2", time.Hour, false}, {90 * time.Minute, "v3", 2 * time.Hour, true}}, "v1>v3@2h0m0s", EndedMoves{RolledBack: 1}},
		{"changed again long after a veto", []step{{0, "v2", time.Hour, false}, {48 * time.Hour, "v3", 50 * time.Hour, true}}, "v1>v3@50h0m0s", EndedMoves{RolledBack: 1}},
		{"back while in progress", []step{{0, "v2", time.Hour, false}, {time.Minute, "v1", 2 * time.Hour, false}}, "", EndedMoves{Replaced: 1}},
		{"back after it is done", []step{{0, "v2", time.Hour, false}, {90 * time.Minute, "v1", 2 * time.Hour, false}}, "v2>v1@2h0m0s", EndedMoves{Done: 1}},
		{"postponed", []step{{0, "v2", time.Hour, false}, {time.Minute, "v2", 2 * time.Hour, false}}, "v1>v2@2h0m0s", EndedMoves{}},
		{"postponed after the deadline keeps the deadline", []step{{0, "v2", time.Hour, false}, {2 * time.Hour, "v2", 3 * time.Hour, false}}, "v1>v2@1h0m0s", EndedMoves{}},
		{"postponed after a veto keeps the deadline", []step{{0, "v2", time.Hour, false}, {time.Minute, "v2", 2 * time.Hour, true}}, "v1>v2@1h0m0s", EndedMoves{}},
	}
	for _, tt := range tests {
		c := parseGoodFile(t).Catalogue
		for _, s := range tt.steps {
			c = s.apply(t, c)
		}
		got := ""
		for _, m := range c.Moves {
			got += m.From + ">" + m.To + "@" + m.Deadline.Sub(start).String()
			if m.KeepUntil.Sub(m.Deadline) != OldVersionRetention {
				t.Errorf("%s: kept until %v, want %v after the deadline", tt.name, m.KeepUntil, OldVersionRetention)
			}
		}
		if got != tt.want || c.Ended != tt.ended {
			t.Errorf("%s: got moves %q, ended %+v, want %q, %+v", tt.name, got, c.Ended, tt.want, tt.ended)
		}
	}
}

// Guards against a second move to a rolled-back version that reuses the ID of the
// first and so inherits its veto.
func TestRepeatedMoveGetsNewID(t *testing.T) {
	is := is.New(t)
	c := parseGoodFile(t).Catalogue
	first := step{0, "v2", time.Hour, false}.apply(t, c)
	back := step{time.Minute, "v1", time.Hour, true}.apply(t, first)
	second := step{2 * time.Minute, "v2", time.Hour, false}.apply(t, back)
	is.True(first.Moves[0].ID != second.Moves[0].ID)
	kept := step{3 * time.Minute, "v2", time.Hour, false}.apply(t, second)
	is.Equal(kept.Moves[0].ID, second.Moves[0].ID) // an unrelated apply keeps the move
}

// Guards against a version change without a deadline, or with one that is in the
// past, too soon or too far in the future.
func TestCheckChangeRequiresDeadlineInRange(t *testing.T) {
	tests := []struct {
		name, version, moveBy, want string
	}{
		{"no deadline", "v2", "", "good.yaml:9: entries[0].move-by: missing"},
		{"deadline in the past", "v2", "2026-12-04T07:00:00Z", "is out of range"},
		{"deadline too soon", "v2", "2026-12-04T08:00:09Z", "is out of range"},
		{"deadline too far", "v2", "2027-12-04T08:00:00Z", "is out of range"},
		{"good", "v2", "2026-12-04T09:00:00Z", ""},
		{"unchanged", "v1", "2026-12-04T07:00:00Z", ""},
	}
	for _, tt := range tests {
		f := parseGoodFile(t)
		previous := clone(f.Catalogue)
		e := &f.Catalogue.Entries[1]
		e.Version = tt.version
		if tt.moveBy != "" {
			e.MoveBy, _ = time.Parse(time.RFC3339, tt.moveBy)
		}
		err := f.CheckChange(previous, start, nil)
		if (err == nil) != (tt.want == "") || err != nil && !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: CheckChange = %v, want %q", tt.name, err, tt.want)
		}
	}
}

// Guards against a diff that omits a changed field or that an operator cannot read,
// and against a history that grows without bound.
func TestDiffAndHistory(t *testing.T) {
	previous := parseGoodFile(t).Catalogue
	next := clone(previous)
	next.Workspaces = append(next.Workspaces[:1], Workspace{Name: "yards", Owner: "Petr"})
	next.Workspaces[0].Owner = "Jan"
	e := &next.Entries[1]
	e.Limits = []Limit{{Workspace: "yards", RequestsPerSecond: 0.5, Concurrent: 2}}
	e.Objective.FirstToken = time.Second
	e.Version, e.MoveBy = "v2", start.Add(time.Hour)
	next.Entries[0].Repeatable = nil
	next.Moves = Plan(previous, next, start)
	goldie.New(t).Assert(t, "diff", []byte(strings.Join(Diff(previous, next), "\n")+"\n"))
	if d := Diff(next, next); len(d) != 0 {
		t.Errorf("Diff of equal catalogues = %q, want none", d)
	}
	c := previous
	for i := range maxHistory + 5 {
		n := clone(c)
		n.Entries[0].Owner = strings.Repeat("o", i+1)
		var err error
		if c, _, err = Successor(c, int64(i), n, Change{Operation: "op", Changed: start}, func(string) bool { return false }); err != nil {
			t.Fatal(err)
		}
	}
	last := c.History[len(c.History)-1]
	if len(c.History) != maxHistory || last.BasedOn != maxHistory+4 || len(last.Summary) != 1 {
		t.Errorf("history has %d changes, the last %+v, want %d based on revision %d", len(c.History), last, maxHistory, maxHistory+4)
	}
	if diff := cmp.Diff(last.Changed, start); diff != "" {
		t.Error(diff)
	}
}
