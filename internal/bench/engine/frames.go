package engine

import (
	"encoding/json"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// lateBy is how many frames ago a late frame was due.
const lateBy = 3

// frames writes the frames of an attempt with the faults that concern frames.
type frames struct {
	server  *Server
	attempt *attempt
	encoder *json.Encoder
	control *http.ResponseController
	// foreign generates the tokens of another request.
	foreign answer.Response
	sent    []frame
}

func newFrames(w http.ResponseWriter, s *Server, a *attempt) *frames {
	return &frames{
		server:  s,
		attempt: a,
		encoder: json.NewEncoder(w),
		control: http.NewResponseController(w),
		foreign: answer.For(a.body.Prompt + a.id),
	}
}

func (o *frames) flush() error {
	return o.control.Flush()
}

// send writes a frame and the ones that faults add to it. A frame that ends
// the response is the last one.
func (o *frames) send(f frame) error {
	v := o.attempt.body.Version
	out := make([]frame, 0, 4)
	if _, ok := o.server.faults.For(fault.ForeignFrames, v); ok {
		out = append(out, frame{Attempt: "foreign-" + f.Attempt, Index: f.Index, Token: o.foreign.Token(f.Index)})
	}
	if _, ok := o.server.faults.For(fault.LateFrames, v); ok && len(o.sent) == lateBy {
		out = append(out, o.sent[0])
	}
	out = append(out, f)
	if _, ok := o.server.faults.For(fault.DuplicateFrames, v); ok {
		out = append(out, f)
	}
	for _, f := range out {
		if err := o.encoder.Encode(f); err != nil {
			return err
		}
	}
	o.sent = append(o.sent, f)
	if len(o.sent) > lateBy {
		o.sent = o.sent[1:]
	}
	return o.flush()
}
