package engine

import (
	"errors"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("engine").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of a Client. Generate returns only these, the error of its yield
// function or that of its context; the other methods also return untyped errors.
var (
	// NotRun means that the engine provably did not run the attempt.
	NotRun = namespace.NewType("not_run")
	// Lost means that bytes of the request may have been sent but its response
	// is missing, incomplete or malformed.
	Lost = namespace.NewType("lost")
	// Stalled is the subtype of Lost for an attempt whose next frame did not
	// arrive in time.
	Stalled = Lost.NewSubtype("stalled")
	// Failed means that the engine responded with an error status, or with a
	// KV cache whose Content-Length exceeds MaxCacheBytes.
	Failed = namespace.NewType("failed")
)

var reasonProperty = errorx.RegisterProperty("reason")

// Reasons for which an attempt was not run. ReasonDial means that no byte was
// sent; the others are values of the Not-Run header.
const (
	ReasonDial       = "dial"
	ReasonLeaving    = "leaving"
	ReasonOverloaded = "overloaded"
	ReasonVersion    = "version"
	ReasonPoison     = "poison"
)

var errStalled = errors.New("no frame arrived in time")

// Reason returns why an attempt was not run, or an empty string if err does not
// say.
func Reason(err error) string {
	if v, ok := errorx.ExtractProperty(err, reasonProperty); ok {
		if s, ok := v.(string); ok {
			return s
		}
	}
	return ""
}

func notRun(reason, format string, args ...any) error {
	return NotRun.New(format, args...).WithProperty(reasonProperty, reason)
}

// IsNotRun reports whether err proves that the attempt was not run.
func IsNotRun(err error) bool { return errorx.IsOfType(err, NotRun) }
