package retry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against retries that add more than a tenth to a failing server.
func TestBudget(t *testing.T) {
	is := is.New(t)
	var b Budget
	is.True(!b.Withdraw()) // an empty budget allows no retry
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			retries++
		}
	}
	is.Equal(retries, 100)
}
