package openai

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// Handover is a stream that outlasts a planned shutdown. Its client resumes it
// with Last-Event-ID on the instance that has adopted it.
type Handover struct {
	Stream, Workspace, Entry, Version string
	// Request is in a form of this package's own.
	Request []byte
	Tokens  []string
	// Prefix is the hash that keeps the conversation together.
	Prefix   uint64
	Deadline time.Time
}

// handoverRequest is the form of Handover.Request.
type handoverRequest struct {
	Route       string `json:"route"`
	Prompt      string `json:"prompt"`
	MaxTokens   int    `json:"max-tokens"`
	Digest      uint64 `json:"digest"`
	Created     int64  `json:"created"`
	Interactive bool   `json:"interactive"`
}

// maxHandover bounds an adopted stream, in bytes and tokens.
const maxHandover = 4 << 20

// Handover ends the planned shutdown: it stops all attempts, passes the
// unfinished streams to send, and then tells their clients. No request is
// accepted from then on. It returns the errors of send together; it is called
// once.
func (s *Server) Handover(ctx context.Context, send func(context.Context, *Handover) error) error {
	defer close(s.released)
	s.stop()
	s.driving.Lock() // waits for the handlers that drive
	defer s.driving.Unlock()
	var errs []error
	deadline := s.c.Now().Add(s.c.Keep)
	for _, g := range s.byID.Values() {
		st := g.state()
		if st.ended() {
			continue
		}
		h, err := g.handover(st.tokens, deadline)
		if err == nil {
			err = send(ctx, h)
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (g *generation) handover(tokens []string, deadline time.Time) (*Handover, error) {
	request, err := json.Marshal(handoverRequest{g.route, g.prompt, g.maxTokens, g.digest, g.created, g.interactive})
	if err != nil {
		return nil, err
	}
	return &Handover{Stream: g.id, Workspace: g.workspace, Entry: g.entry, Version: g.lastVersion(), Request: request,
		Tokens: tokens, Prefix: g.conversation, Deadline: deadline}, nil
}

// Adopt keeps a stream of an instance that shuts down until its client
// resumes it. It reports false for a stream that is malformed or expired.
func (s *Server) Adopt(h *Handover) bool {
	var q handoverRequest
	now := s.c.Now()
	size := len(h.Request)
	for _, t := range h.Tokens {
		size += len(t)
	}
	if size > maxHandover || json.Unmarshal(h.Request, &q) != nil || h.Stream == "" || len(h.Stream) > 128 ||
		q.MaxTokens < len(h.Tokens) || q.MaxTokens > s.c.MaxTokens || !now.Before(h.Deadline) || s.stopping.Err() != nil {
		return false
	}
	g := &generation{
		id: h.Stream, created: q.Created, workspace: h.Workspace, entry: h.Entry, route: q.Route, prompt: q.Prompt,
		maxTokens: q.MaxTokens, digest: q.Digest, fingerprint: fingerprint(h.Workspace, h.Entry, q.Prompt),
		conversation: h.Prefix, interactive: q.Interactive, sent: true, tokens: h.Tokens, version: h.Version,
	}
	_, known := s.byID.LoadOrStore(g.id, g, g.weight()+int64(size+len(h.Workspace)+len(h.Entry)+len(h.Version)), now)
	return !known
}

// moved tells a client, once the streams have been handed over, that this
// instance shuts down.
func (s *Server) moved(client context.Context, p *response, r *Request) (state, error) {
	select {
	case <-s.released:
	case <-client.Done():
		return state{}, s.abandon(r)
	}
	outcome := reply.Unknown
	if !p.g.wasSent() {
		outcome = reply.NotRun
	}
	st := p.g.state()
	st.err = leavingError(outcome)
	s.settle(p, r, &st)
	return st, nil
}

func leavingError(outcome string) *reply.Error {
	return &reply.Error{Status: http.StatusServiceUnavailable, Outcome: outcome, Type: "server_error", Code: "instance_leaving",
		Message: "this instance shuts down; send the request again, a stream with its Last-Event-ID", RetryAfter: time.Second}
}
