package front

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/retry"
)

// budgets keeps this instance's part of the fleet's retries by service. It
// implements forward.Budget.
type budgets struct {
	config   retry.SharedConfig
	services sync.Map // service name to *retry.Shared
}

func (b *budgets) of(service string) *retry.Shared {
	if v, ok := b.services.Load(service); ok {
		return v.(*retry.Shared)
	}
	v, _ := b.services.LoadOrStore(service, retry.NewShared(b.config))
	return v.(*retry.Shared)
}

// Deposit implements forward.Budget.
func (b *budgets) Deposit(service string) { b.of(service).Deposit() }

// Withdraw implements forward.Budget.
func (b *budgets) Withdraw(service string) bool { return b.of(service).Withdraw() }

// RetryLimit is the fleet's budget of repeated sends to a service.
type RetryLimit struct {
	// Ratio is the repeats for each request, and Slack those besides, both in
	// Window.
	Ratio, Slack float64
	Window       time.Duration
}
