package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// Report is the service-level burn report.
type Report struct {
	At                time.Time `json:"at"`
	CatalogueRevision int64     `json:"catalogue-revision"`
	// Reporting is the number of entry instances that the report covers;
	// Instances is the number of all live entry instances.
	Reporting int                 `json:"reporting"`
	Instances int                 `json:"instances"`
	Silent    []UncoveredInstance `json:"silent"`
	// Covered holds the times in seconds that the windows of 5 minutes, 1 hour
	// and 24 hours cover.
	Covered    [3]float64  `json:"covered-seconds"`
	Measures   Measures    `json:"measures"`
	Rows       []Row       `json:"rows"`
	Rejections []Rejection `json:"rejections"`
	Moves      []Move      `json:"moves"`
}

// UncoveredInstance is an instance that the report does not cover because its
// metrics could not be read.
type UncoveredInstance struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// Measures holds the figures on cost, latency, tokens and version moves.
type Measures struct {
	// PricePerHour is the price of all live instances, in the currency of the
	// instance list.
	PricePerHour float64 `json:"price-per-hour"`
	// PricePerMillionTokens is the price of a million generated tokens over the
	// last hour, in the same currency. It is 0 if no tokens were generated.
	PricePerMillionTokens float64 `json:"price-per-million-tokens"`
	// Requests is the number of requests of the last hour that count towards the
	// service level.
	Requests uint64 `json:"requests"`
	// ShareWithinObjective is the share of Requests that met their objective. It
	// is 0 if there were no requests.
	ShareWithinObjective float64 `json:"at-target"`
	// FirstTokenP95 and BetweenTokensP95 are 95th percentiles in seconds, over
	// the time since the start of the instances.
	FirstTokenP95    float64 `json:"first-token-p95-seconds"`
	BetweenTokensP95 float64 `json:"between-tokens-p95-seconds"`
	// GeneratedTokens, RecomputedTokens and CachedTokens are counts of the last
	// 24 hours.
	GeneratedTokens  uint64 `json:"generated-tokens"`
	RecomputedTokens uint64 `json:"recomputed-tokens"`
	CachedTokens     uint64 `json:"cached-tokens"`
	// The numbers of version moves since the first catalogue, by their state.
	// MovesReplaced counts moves that another change replaced before the
	// deadline; MovesLate counts moves that are in progress past their deadline.
	MovesDone       int `json:"moves-done"`
	MovesLate       int `json:"moves-late"`
	MovesRolledBack int `json:"moves-rolled-back"`
	MovesReplaced   int `json:"moves-replaced"`
	MovesRunning    int `json:"moves-running"`
	// MovesUnknown is the number of moves that no instance reports.
	MovesUnknown int `json:"moves-unknown"`
}

// Row is the state of the objective of an entry, for one workspace or for all
// workspaces together. Requests and their results are counts of the last 24
// hours.
type Row struct {
	Entry string `json:"entry"`
	// Workspace is empty for all workspaces together.
	Workspace string `json:"workspace,omitempty"`
	// Objective is the target share of good requests. It is 0 if the entry is
	// no longer in the catalogue; the budget and the burn rates are then
	// undefined and also 0.
	Objective     float64 `json:"objective"`
	FirstToken    string  `json:"first-token,omitempty"`
	BetweenTokens string  `json:"between-tokens,omitempty"`
	// BudgetLeft is the remaining share of the error budget of the last 24
	// hours; if BudgetLeft is negative, the objective is missed.
	BudgetLeft float64 `json:"budget-left"`
	// BurnShort and BurnLong are the burn rates of the windows of 5 minutes and
	// 1 hour. At a rate of 1, the budget lasts for exactly 24 hours.
	BurnShort float64 `json:"burn-5m"`
	BurnLong  float64 `json:"burn-1h"`
	Requests  uint64  `json:"requests"`
	Good      uint64  `json:"good"`
	Slow      uint64  `json:"slow"`
	Failed    uint64  `json:"failed"`
	Reclaimed uint64  `json:"reclaimed"`
	Rejected  uint64  `json:"rejected"`
	Limited   uint64  `json:"limited"`
}

// Rejection counts rejections since the start of the instances.
type Rejection struct {
	Reason string `json:"reason"`
	Count  uint64 `json:"count"`
}

// Move is the state of a version move.
type Move struct {
	Entry    string    `json:"entry"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Share    float64   `json:"share"`
	Phase    string    `json:"phase"`
	Deadline time.Time `json:"deadline"`
	Sentence string    `json:"sentence"`
}

// Scrape is the body of /metrics of one instance, or the error from reading it.
type Scrape struct {
	Instance string
	Data     []byte
	Err      error
}

// Input holds the data that a report is built from.
type Input struct {
	Snapshot *catalogue.Snapshot
	// Instances are the live instances of all roles; only their prices are used.
	Instances []instances.Instance
	Statuses  []admin.StatusResult
	Scrapes   []Scrape
}

// Build returns the report at now.
func Build(in Input, now time.Time) *Report {
	r := &Report{At: now.UTC(), CatalogueRevision: in.Snapshot.Revision, Instances: len(in.Scrapes), Silent: []UncoveredInstance{}}
	sums := newAggregate()
	for _, x := range in.Scrapes {
		err := x.Err
		if err == nil {
			err = sums.add(x.Data)
		}
		if err != nil {
			r.Silent = append(r.Silent, UncoveredInstance{x.Instance, err.Error()})
			continue
		}
		r.Reporting++
	}
	for i := range windows {
		r.Covered[i] = sums.covered[i].Seconds()
	}
	r.addRows(in.Snapshot, sums)
	for _, reason := range slices.Sorted(maps.Keys(sums.rejections)) {
		if n := uint64(sums.rejections[reason]); n > 0 {
			r.Rejections = append(r.Rejections, Rejection{reason, n})
		}
	}
	r.addMoves(in, now)
	r.setMeasures(in.Instances, sums)
	return r
}

// addRows adds a row for each entry, followed by one for each workspace that used
// the entry.
func (r *Report) addRows(snapshot *catalogue.Snapshot, sums *aggregate) {
	totals := make(map[seriesKey]*[len(windows)]Counts)
	for _, e := range snapshot.Catalogue.Entries {
		totals[seriesKey{entry: e.Name}] = new([len(windows)]Counts)
	}
	for key, counts := range sums.requests {
		totals[key] = counts
		all := seriesKey{entry: key.entry}
		if totals[all] == nil {
			totals[all] = new([len(windows)]Counts)
		}
		for w := range counts {
			totals[all][w].add(counts[w])
		}
	}
	for key, counts := range totals {
		r.Rows = append(r.Rows, newRow(snapshot, key, counts))
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Workspace, b.Workspace))
	})
}

// newRow returns the row of a series. The elements of counts are in the order of
// windows: 5 minutes, 1 hour, 24 hours.
func newRow(snapshot *catalogue.Snapshot, key seriesKey, counts *[len(windows)]Counts) Row {
	dayCounts := counts[2]
	x := Row{
		Entry: key.entry, Workspace: key.workspace, Requests: dayCounts.total() + dayCounts[Limited],
		Good: dayCounts[Good], Slow: dayCounts[Slow], Failed: dayCounts[Failed], Reclaimed: dayCounts[Reclaimed], Rejected: dayCounts[Rejected], Limited: dayCounts[Limited],
	}
	e, ok := snapshot.Entry(key.entry)
	if !ok {
		return x
	}
	x.Objective, x.FirstToken = e.Objective.Success, e.Objective.FirstToken.String()
	if e.Objective.BetweenTokens > 0 {
		x.BetweenTokens = e.Objective.BetweenTokens.String()
	}
	x.BurnShort, x.BurnLong = burnRate(counts[0], x.Objective), burnRate(counts[1], x.Objective)
	x.BudgetLeft = 1 - burnRate(dayCounts, x.Objective)
	return x
}

// burnRate returns the share of bad requests as a multiple of the share that the
// objective allows.
func burnRate(c Counts, objective float64) float64 {
	if c.total() == 0 || objective >= 1 {
		return 0
	}
	return float64(c.bad()) / float64(c.total()) / (1 - objective)
}

func (r *Report) addMoves(in Input, now time.Time) {
	ended := in.Snapshot.Catalogue.Ended
	m := &r.Measures
	m.MovesDone, m.MovesRolledBack, m.MovesReplaced = ended.Done, ended.RolledBack, ended.Replaced
	r.Moves = []Move{}
	for _, s := range admin.MoveStates(in.Snapshot.Catalogue, in.Statuses) {
		r.Moves = append(r.Moves, Move{
			Entry: s.Entry, From: s.From, To: s.To, Share: s.MaxShare, Phase: s.Phase, Deadline: s.Deadline, Sentence: s.Sentence(now),
		})
		switch {
		case s.Reports == 0:
			m.MovesUnknown++
		case s.Phase == admin.PhaseDone:
			m.MovesDone++
		case s.Phase == admin.PhaseRolledBack:
			m.MovesRolledBack++
		case now.Before(s.Deadline):
			m.MovesRunning++
		default:
			m.MovesLate++
		}
	}
}

// setMeasures sets the measures that are not about moves. Index 1 of the arrays
// in sums is the window of 1 hour, index 2 the window of 24 hours.
func (r *Report) setMeasures(live []instances.Instance, sums *aggregate) {
	m := &r.Measures
	for _, i := range live {
		m.PricePerHour += i.Price
	}
	hourTokens, covered := sums.tokens[1], sums.covered[1].Hours()
	if n := hourTokens[generatedTokensIndex]; n > 0 && covered > 0 {
		m.PricePerMillionTokens = m.PricePerHour * covered / float64(n) * 1e6
	}
	var requests Counts
	for _, counts := range sums.requests {
		requests.add(counts[1])
	}
	m.Requests = requests.total()
	if n := m.Requests; n > 0 {
		m.ShareWithinObjective = float64(requests[Good]) / float64(n)
	}
	dayTokens := sums.tokens[2]
	m.GeneratedTokens, m.CachedTokens, m.RecomputedTokens = dayTokens[generatedTokensIndex], dayTokens[cachedTokensIndex], dayTokens[recomputedTokensIndex]
	m.FirstTokenP95 = sums.latencies[firstTokenName].quantile(0.95)
	m.BetweenTokensP95 = sums.latencies[betweenTokensName].quantile(0.95)
}
