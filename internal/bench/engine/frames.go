package engine

import (
	"encoding/json"
	"net/http"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// lateFrameLag is the distance, in frames, between a frame and the earlier frame
// that fault.LateFrames repeats before it.
const lateFrameLag = 3

// frameWriter writes the frames of an attempt and applies frame faults.
type frameWriter struct {
	server  *Server
	attempt *attempt
	encoder *json.Encoder
	control *http.ResponseController
	// foreign is the response to another prompt, from which the frames of
	// fault.ForeignFrames are taken. Its tokens differ from the attempt's.
	foreign answer.Response
	// recent holds the last lateFrameLag frames.
	recent []frame
}

func newFrameWriter(w http.ResponseWriter, s *Server, a *attempt) *frameWriter {
	return &frameWriter{
		server:  s,
		attempt: a,
		encoder: json.NewEncoder(w),
		control: http.NewResponseController(w),
		foreign: answer.Expected(a.body.Prompt + a.id),
	}
}

func (w *frameWriter) flush() error {
	return w.control.Flush()
}

// send writes a frame and the additional frames that faults cause. The given
// frame is written last, so that a final frame ends the response.
func (w *frameWriter) send(f frame) error {
	v := w.attempt.body.Version
	out := make([]frame, 0, 4)
	if _, ok := w.server.faults.FindForVersion(fault.ForeignFrames, v); ok {
		out = append(out, frame{Attempt: "foreign-" + f.Attempt, Index: f.Index, Token: w.foreign.Token(f.Index)})
	}
	if _, ok := w.server.faults.FindForVersion(fault.LateFrames, v); ok && len(w.recent) == lateFrameLag {
		out = append(out, w.recent[0])
	}
	out = append(out, f)
	if _, ok := w.server.faults.FindForVersion(fault.DuplicateFrames, v); ok {
		out = append(out, f)
	}
	for _, f := range out {
		if err := w.encoder.Encode(f); err != nil {
			return err
		}
	}
	w.recent = append(w.recent, f)
	if len(w.recent) > lateFrameLag {
		w.recent = w.recent[1:]
	}
	return w.flush()
}
