package openai

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// HandedOverStream is a stream that is unfinished at the end of a planned
// shutdown. Its client resumes the stream with Last-Event-ID on an instance that
// adopted it.
type HandedOverStream struct {
	StreamID, Workspace, Entry, Version string
	// Request is the request in an encoding that is private to this package.
	Request []byte
	Tokens  []string
	// Conversation is a hash that is the same for all requests of the conversation.
	Conversation uint64
	Deadline     time.Time
}

// handoverRequest is the value encoded as JSON in HandedOverStream.Request.
type handoverRequest struct {
	Route       string `json:"route"`
	Prompt      string `json:"prompt"`
	MaxTokens   int    `json:"max-tokens"`
	Digest      uint64 `json:"digest"`
	Created     int64  `json:"created"`
	Interactive bool   `json:"interactive"`
}

// maxHandoverBytes is the maximum total size of the request and the tokens of an
// adopted stream.
const maxHandoverBytes = 4 << 20

// Handover is the last step of a planned shutdown: it stops all attempts, passes
// the unfinished streams to send, and then ends the responses to their clients.
// New requests are rejected from the beginning of the call. Handover returns the
// joined errors of send. It must be called at most once.
func (s *Server) Handover(ctx context.Context, send func(context.Context, *HandedOverStream) error) error {
	defer close(s.handedOver)
	s.stop()
	s.driveMu.Lock() // waits for the handlers that drive a generation
	defer s.driveMu.Unlock()
	var errs []error
	deadline := s.config.Now().Add(s.config.ResponseTTL)
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

func (g *generation) handover(tokens []string, deadline time.Time) (*HandedOverStream, error) {
	request, err := json.Marshal(handoverRequest{g.route, g.prompt, g.maxTokens, g.digest, g.created, g.interactive})
	if err != nil {
		return nil, err
	}
	return &HandedOverStream{StreamID: g.id, Workspace: g.workspace, Entry: g.entry, Version: g.lastVersion(), Request: request,
		Tokens: tokens, Conversation: g.conversation, Deadline: deadline}, nil
}

// Adopt stores a stream from an instance that is shutting down, so that its
// client can resume it. It returns false if the stream is invalid, expired or
// already known, or if this instance is shutting down itself.
func (s *Server) Adopt(h *HandedOverStream) bool {
	var q handoverRequest
	now := s.config.Now()
	size := len(h.Request)
	for _, t := range h.Tokens {
		size += len(t)
	}
	if size > maxHandoverBytes || json.Unmarshal(h.Request, &q) != nil || h.StreamID == "" || len(h.StreamID) > 128 ||
		q.MaxTokens < len(h.Tokens) || q.MaxTokens > s.config.MaxTokens || !now.Before(h.Deadline) || s.stopping.Err() != nil {
		return false
	}
	g := &generation{
		id: h.StreamID, created: q.Created, workspace: h.Workspace, entry: h.Entry, route: q.Route, prompt: q.Prompt,
		maxTokens: q.MaxTokens, digest: q.Digest, fingerprint: requestFingerprint(h.Workspace, h.Entry, q.Prompt),
		conversation: h.Conversation, interactive: q.Interactive, maybeSent: true, tokens: h.Tokens, version: h.Version,
	}
	_, known := s.byID.LoadOrStore(g.id, g, g.weight()+int64(size+len(h.Workspace)+len(h.Entry)+len(h.Version)), now)
	return !known
}

// awaitHandover waits until Handover returns, and returns the generation's state
// with leavingError as its error.
func (s *Server) awaitHandover(client context.Context, a *admittedRequest, record *RequestRecord) (state, error) {
	select {
	case <-s.handedOver:
	case <-client.Done():
		return state{}, s.recordCanceled(record)
	}
	outcome := reply.OutcomeUnknown
	if !a.generation.mayHaveRun() {
		outcome = reply.OutcomeNotRun
	}
	st := a.generation.state()
	st.err = leavingError(outcome)
	s.recordEnd(a, record, &st)
	return st, nil
}

func leavingError(outcome string) *reply.Error {
	return &reply.Error{Status: http.StatusServiceUnavailable, Outcome: outcome, Type: "server_error", Code: "instance_leaving",
		Message: "this instance shuts down; send the request again, a stream with its Last-Event-ID", RetryAfter: time.Second}
}
