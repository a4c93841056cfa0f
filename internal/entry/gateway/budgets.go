package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/retry"
)

// retryBudgets holds this instance's part of the fleet's retry budget of each
// service. It implements forward.Budget.
type retryBudgets struct {
	config   retry.SharedConfig
	services sync.Map // service name to *retry.SharedBudget
	events   *prometheus.CounterVec
}

// newRetryBudgets returns the budgets after registering their metrics.
func newRetryBudgets(c retry.SharedConfig, r prometheus.Registerer) (*retryBudgets, error) {
	b := &retryBudgets{config: c, events: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "forward_retry_budget_total", Help: "Requests that earn retries, and retries that the budget granted or refused, by service.",
	}, []string{"service", "event"})}
	counted := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "forward_retry_budget_instances", Help: "Number of instances among which the slack of the retry budget is divided.",
	}, func() float64 { return float64(c.Instances()) })
	return b, errors.Join(r.Register(b.events), r.Register(counted))
}

// budget returns the budget of a service, which is created on first use.
func (b *retryBudgets) budget(service string) *retry.SharedBudget {
	if v, ok := b.services.Load(service); ok {
		return v.(*retry.SharedBudget)
	}
	v, _ := b.services.LoadOrStore(service, retry.NewSharedBudget(b.config))
	return v.(*retry.SharedBudget)
}

// Deposit implements forward.Budget.
func (b *retryBudgets) Deposit(service string) {
	b.budget(service).Deposit()
	b.events.WithLabelValues(service, "request").Inc()
}

// Withdraw implements forward.Budget.
func (b *retryBudgets) Withdraw(service string) bool {
	granted := b.budget(service).Withdraw()
	event := "refused"
	if granted {
		event = "granted"
	}
	b.events.WithLabelValues(service, event).Inc()
	return granted
}

// RetryLimit limits the retries of all instances together at one service.
type RetryLimit struct {
	// Within any Window, all instances together make at most Ratio retries per
	// request and Slack further retries.
	Ratio, Slack float64
	Window       time.Duration
}
