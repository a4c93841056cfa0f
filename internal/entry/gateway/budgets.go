package gateway

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/retry"
)

// retryBudgets holds this instance's part of the fleet's retry budget of each
// service. It implements forward.Budget.
type retryBudgets struct {
	config   retry.SharedConfig
	services sync.Map // service name to *retry.SharedBudget
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
func (b *retryBudgets) Deposit(service string) { b.budget(service).Deposit() }

// Withdraw implements forward.Budget.
func (b *retryBudgets) Withdraw(service string) bool { return b.budget(service).Withdraw() }

// RetryLimit limits the retries of all instances together at one service.
type RetryLimit struct {
	// Within any Window, all instances together make at most Ratio retries per
	// request and Slack further retries.
	Ratio, Slack float64
	Window       time.Duration
}
