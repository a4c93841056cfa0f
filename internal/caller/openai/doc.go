// Package openai serves clients of completions, as OpenAI clients use them.
//
// Each request is a generation: the tokens reached so far and how to continue
// them. One handler at a time drives a generation through attempts on model
// engines; others with the same idempotency key follow it.
package openai
