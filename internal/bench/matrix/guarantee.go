package matrix

// Guarantee is a property that cells check. The first eight are those of
// section 1.2 of the design.
type Guarantee int

// Guarantees.
const (
	SurvivesReclaim Guarantee = iota + 1
	BadVersion
	OwnResponse
	NotRun
	AtMostOnce
	LeavingServer
	PlannedShutdown
	Configuration
	MoveEnds
)

// Guarantees are all of them in order.
var Guarantees = []Guarantee{
	SurvivesReclaim, BadVersion, OwnResponse, NotRun, AtMostOnce, LeavingServer, PlannedShutdown, Configuration, MoveEnds,
}

var guaranteeTexts = map[Guarantee]string{
	SurvivesReclaim: "An accepted request survives an announced reclaim.",
	BadVersion:      "Share 0 of a bad version on all instances within 2 s of the first veto, and no attempt on it after that.",
	OwnResponse:     "Each response is the complete response to its own request; requests that the fault does not concern are answered.",
	NotRun:          "A request rejected as `not-run` did not run.",
	AtMostOnce:      "No booking ran twice.",
	LeavingServer:   "A leaving backend server gets no new attempt after 5 s.",
	PlannedShutdown: "A planned shutdown cuts off nothing and exits with status 0.",
	Configuration:   "An applied revision is in effect on all reachable instances within 4 s and never lower than before.",
	MoveEnds:        "A move is finished by its deadline or rolled back.",
}

// String returns what the guarantee says.
func (g Guarantee) String() string {
	return guaranteeTexts[g]
}

// Verdict is the result of a guarantee in a cell.
type Verdict string

// Verdicts.
const (
	Proved     Verdict = "proved"
	Failed     Verdict = "failed"
	NotCovered Verdict = "-"
)

// finding is the result of a check.
type finding struct {
	checked  bool
	problems []string
}
