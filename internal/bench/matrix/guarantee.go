package matrix

// Guarantee is a property that cells check. The first eight are defined in
// section 1.2 of the design.
type Guarantee int

// Guarantees.
const (
	SurvivesReclaim Guarantee = iota + 1
	BadVersionRollback
	CorrectResponse
	RejectedNotRun
	AtMostOnce
	NoWorkWhileLeaving
	PlannedShutdown
	RevisionEffective
	MoveDeadline
)

// Guarantees are all guarantees in the order of their numbers.
var Guarantees = []Guarantee{
	SurvivesReclaim, BadVersionRollback, CorrectResponse, RejectedNotRun, AtMostOnce, NoWorkWhileLeaving, PlannedShutdown, RevisionEffective, MoveDeadline,
}

var guaranteeTexts = map[Guarantee]string{
	SurvivesReclaim:    "An accepted request survives an announced reclaim.",
	BadVersionRollback: "Share 0 of a bad version on all instances within 2 s of the first veto, and no attempt on it after that.",
	CorrectResponse:    "Each response is the complete response to its own request; requests that the fault does not concern are answered.",
	RejectedNotRun:     "A request rejected as `not-run` did not run.",
	AtMostOnce:         "No booking ran twice.",
	NoWorkWhileLeaving: "A leaving backend server gets no new attempt after 5 s.",
	PlannedShutdown:    "A planned shutdown cuts off nothing and exits with status 0.",
	RevisionEffective:  "An applied revision is in effect on all reachable instances within 4 s and never lower than before.",
	MoveDeadline:       "A move is finished by its deadline or rolled back.",
}

// String returns the text of the guarantee.
func (g Guarantee) String() string {
	return guaranteeTexts[g]
}

// Verdict is the result of the checks of a guarantee in a cell.
type Verdict string

// Verdicts.
const (
	Passed     Verdict = "proved"
	Failed     Verdict = "failed"
	NotCovered Verdict = "-"
)

// finding collects the results of the checks of a guarantee.
type finding struct {
	checked    bool
	violations []string
}
