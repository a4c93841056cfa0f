// Package openai serves an OpenAI-compatible API for chat and text completions.
//
// Each request has a generation: the tokens generated so far and the state
// needed to continue. One handler at a time drives a generation through attempts
// on model engines; other handlers of the same generation wait for its
// tokens.
package openai
