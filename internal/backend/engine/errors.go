package engine

import (
	"errors"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("engine").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Errors of an attempt.
var (
	// NotRun means that the engine provably did not run the attempt.
	NotRun = namespace.NewType("not_run")
	// Lost means that the response ended early, after bytes were sent.
	Lost = namespace.NewType("lost")
	// Stalled is the kind of Lost where no frame arrived in time.
	Stalled = Lost.NewSubtype("stalled")
	// Failed means that the engine responded with a failure.
	Failed = namespace.NewType("failed")
)

var reasonProperty = errorx.RegisterProperty("reason")

// Reasons for which an attempt was not run.
const (
	ReasonDial       = "dial"
	ReasonLeaving    = "leaving"
	ReasonOverloaded = "overloaded"
	ReasonVersion    = "version"
	ReasonPoison     = "poison"
)

var errStalled = errors.New("no frame arrived in time")

// Reason returns why an attempt was not run, or an empty string.
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
