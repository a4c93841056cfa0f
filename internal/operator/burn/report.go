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
	// Reporting and Instances count the entry instances that the report
	// covers and all live ones.
	Reporting int      `json:"reporting"`
	Instances int      `json:"instances"`
	Silent    []Silent `json:"silent"`
	// Covered are the times in seconds that the windows of 5 minutes, 1 hour
	// and 24 hours cover.
	Covered    [3]float64  `json:"covered-seconds"`
	Measures   Measures    `json:"measures"`
	Rows       []Row       `json:"rows"`
	Rejections []Rejection `json:"rejections"`
	Moves      []Move      `json:"moves"`
}

// Silent is an instance that the report does not cover.
type Silent struct {
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
}

// Measures are what the users measure the system by.
type Measures struct {
	// PricePerHour is the price of all live instances.
	PricePerHour float64 `json:"price-per-hour"`
	// PerMillionTokens is the price of a million generated tokens over the
	// last hour; 0 without tokens.
	PerMillionTokens float64 `json:"price-per-million-tokens"`
	// Requests counts those of the last hour that have an objective; AtTarget
	// is 0 without any.
	Requests uint64 `json:"requests"`
	// AtTarget is the share of the requests within their objective over the
	// last hour.
	AtTarget float64 `json:"at-target"`
	// FirstToken95 and BetweenTokens95 are 95th percentiles in seconds since
	// the start of the instances.
	FirstToken95    float64 `json:"first-token-p95-seconds"`
	BetweenTokens95 float64 `json:"between-tokens-p95-seconds"`
	// GeneratedTokens, RecomputedTokens and CachedTokens are of the last 24
	// hours.
	GeneratedTokens  uint64 `json:"generated-tokens"`
	RecomputedTokens uint64 `json:"recomputed-tokens"`
	CachedTokens     uint64 `json:"cached-tokens"`
	// Moves by their end, since the first catalogue.
	MovesDone       int `json:"moves-done"`
	MovesLate       int `json:"moves-late"`
	MovesRolledBack int `json:"moves-rolled-back"`
	MovesReplaced   int `json:"moves-replaced"`
	MovesRunning    int `json:"moves-running"`
	// MovesUnknown are those that no instance reports on.
	MovesUnknown int `json:"moves-unknown"`
}

// Row is the state of an objective for an entry and a workspace. Requests
// and their results are of the last 24 hours.
type Row struct {
	Entry string `json:"entry"`
	// Workspace is empty for all of them together.
	Workspace string `json:"workspace,omitempty"`
	// Objective is the share of good requests; 0 if the entry is no longer in
	// the catalogue, which leaves budget and burn undefined and 0.
	Objective     float64 `json:"objective"`
	FirstToken    string  `json:"first-token,omitempty"`
	BetweenTokens string  `json:"between-tokens,omitempty"`
	// BudgetLeft is the share of the error budget that is left; below 0 the
	// objective is missed.
	BudgetLeft float64 `json:"budget-left"`
	// BurnShort and BurnLong are multiples of the rate at which the budget
	// would last for exactly its period.
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

// Scrape is the body of /metrics of one instance, or why there is none.
type Scrape struct {
	Instance string
	Data     []byte
	Err      error
}

// Input is what a report is built from.
type Input struct {
	Snapshot *catalogue.Snapshot
	// Instances are the live instances of all roles.
	Instances []instances.Instance
	Statuses  []admin.Answer
	Scrapes   []Scrape
}

// Build returns the report at now.
func Build(in Input, now time.Time) *Report {
	r := &Report{At: now.UTC(), CatalogueRevision: in.Snapshot.Revision, Instances: len(in.Scrapes), Silent: []Silent{}}
	s := newScrape()
	for _, x := range in.Scrapes {
		err := x.Err
		if err == nil {
			err = s.read(x.Data)
		}
		if err != nil {
			r.Silent = append(r.Silent, Silent{x.Instance, err.Error()})
			continue
		}
		r.Reporting++
	}
	for i := range windows {
		r.Covered[i] = s.covered[i].Seconds()
	}
	r.rows(in.Snapshot, s)
	for _, reason := range slices.Sorted(maps.Keys(s.rejections)) {
		if n := uint64(s.rejections[reason]); n > 0 {
			r.Rejections = append(r.Rejections, Rejection{reason, n})
		}
	}
	r.moves(in, now)
	r.measure(in.Instances, s)
	return r
}

// rows adds a row for each entry and, below it, for each workspace that used
// it.
func (r *Report) rows(snapshot *catalogue.Snapshot, s *scrape) {
	totals := make(map[pair]*[len(windows)]Counts)
	for _, e := range snapshot.Catalogue.Entries {
		totals[pair{entry: e.Name}] = new([len(windows)]Counts)
	}
	for p, counts := range s.requests {
		totals[p] = counts
		all := pair{entry: p.entry}
		if totals[all] == nil {
			totals[all] = new([len(windows)]Counts)
		}
		for w := range counts {
			totals[all][w].add(counts[w])
		}
	}
	for p, counts := range totals {
		r.Rows = append(r.Rows, row(snapshot, p, counts))
	}
	slices.SortFunc(r.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Workspace, b.Workspace))
	})
}

func row(snapshot *catalogue.Snapshot, p pair, counts *[len(windows)]Counts) Row {
	day := counts[2]
	x := Row{
		Entry: p.entry, Workspace: p.workspace, Requests: day.total() + day[Limited],
		Good: day[Good], Slow: day[Slow], Failed: day[Failed], Reclaimed: day[Reclaimed], Rejected: day[Rejected], Limited: day[Limited],
	}
	e, ok := snapshot.Entry(p.entry)
	if !ok {
		return x
	}
	x.Objective, x.FirstToken = e.Objective.Success, e.Objective.FirstToken.String()
	if e.Objective.BetweenTokens > 0 {
		x.BetweenTokens = e.Objective.BetweenTokens.String()
	}
	x.BurnShort, x.BurnLong = rate(counts[0], x.Objective), rate(counts[1], x.Objective)
	x.BudgetLeft = 1 - rate(day, x.Objective)
	return x
}

// rate returns the share of bad requests as a multiple of the allowed share.
func rate(c Counts, objective float64) float64 {
	if c.total() == 0 || objective >= 1 {
		return 0
	}
	return float64(c.bad()) / float64(c.total()) / (1 - objective)
}

func (r *Report) moves(in Input, now time.Time) {
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

func (r *Report) measure(live []instances.Instance, s *scrape) {
	m := &r.Measures
	for _, i := range live {
		m.PricePerHour += i.Price
	}
	hour, covered := s.tokens[1], s.covered[1].Hours()
	if n := hour[generated]; n > 0 && covered > 0 {
		m.PerMillionTokens = m.PricePerHour * covered / float64(n) * 1e6
	}
	var requests Counts
	for _, counts := range s.requests {
		requests.add(counts[1])
	}
	m.Requests = requests.total()
	if n := m.Requests; n > 0 {
		m.AtTarget = float64(requests[Good]) / float64(n)
	}
	day := s.tokens[2]
	m.GeneratedTokens, m.CachedTokens, m.RecomputedTokens = day[generated], day[cached], day[recomputed]
	m.FirstToken95 = s.latencies[firstTokenName].quantile(0.95)
	m.BetweenTokens95 = s.latencies[betweenTokensName].quantile(0.95)
}
