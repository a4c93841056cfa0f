package instance

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a log line that shows a formatting fault instead of the reason why
// a stream was not handed over.
func TestHandoverErrorWithoutCause(t *testing.T) {
	if got := handoverError("s1", nil).Error(); strings.Contains(got, "%!") || !strings.Contains(got, "s1") {
		t.Errorf("without a cause: got %q", got)
	}
	cause := errors.New("refused")
	if got := handoverError("s1", cause); !errors.Is(got, cause) {
		t.Errorf("with a cause: got %v, want it to wrap the cause", got)
	}
}
