package openai

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// writeJSONResponse writes a complete response as a single JSON object, for
// requests without stream.
func writeJSONResponse(w http.ResponseWriter, g *generation, st *state, timeout time.Duration) error {
	size := 512
	for _, t := range st.tokens {
		size += len(t) + 4
	}
	text := make([]byte, 0, size)
	for _, t := range st.tokens {
		text = append(text, t...)
	}
	b := make([]byte, 0, size)
	b = append(b, `{"id":`...)
	b = appendQuoted(b, g.id)
	if g.route == RouteChat {
		b = append(b, `,"object":"chat.completion","created":`...)
	} else {
		b = append(b, `,"object":"text_completion","created":`...)
	}
	b = strconv.AppendInt(b, g.created, 10)
	b = append(b, `,"model":`...)
	b = appendQuoted(b, g.entry)
	if g.route == RouteChat {
		b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
		b = appendQuoted(b, string(text))
		b = append(b, `,"refusal":null},"logprobs":null,"finish_reason":`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"text":`...)
		b = appendQuoted(b, string(text))
		b = append(b, `,"logprobs":null,"finish_reason":`...)
	}
	b = appendQuoted(b, st.finish)
	b = append(b, `}],"usage":`...)
	b = appendUsage(b, len(st.tokens), st.usage)
	b = append(b, '}')
	reply.SetWriteDeadline(w, timeout)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
	return nil
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

// listModels returns the language entries of the catalogue.
func (s *Server) listModels(_ context.Context, r *http.Request) (modelList, error) {
	snapshot := s.config.Snapshots.Snapshot()
	if _, err := reply.Authenticate(snapshot, r); err != nil {
		return modelList{}, err
	}
	list := modelList{Object: "list", Data: []model{}}
	for i := range snapshot.Catalogue.Entries {
		if e := &snapshot.Catalogue.Entries[i]; e.Kind == catalogue.KindLanguage {
			list.Data = append(list.Data, modelOf(snapshot, e))
		}
	}
	return list, nil
}

// getModel returns the language entry that the path names.
func (s *Server) getModel(_ context.Context, r *http.Request) (model, error) {
	snapshot := s.config.Snapshots.Snapshot()
	if _, err := reply.Authenticate(snapshot, r); err != nil {
		return model{}, err
	}
	name := r.PathValue("model")
	e, ok := snapshot.Entry(name)
	if !ok || e.Kind != catalogue.KindLanguage {
		return model{}, modelNotFound(name)
	}
	return modelOf(snapshot, e), nil
}

func modelOf(s *catalogue.Snapshot, e *catalogue.Entry) model {
	return model{ID: e.Name, Object: "model", Created: max(s.Catalogue.Changed.Unix(), 0), OwnedBy: e.Owner}
}

func modelNotFound(name string) *reply.Error {
	return &reply.Error{Status: http.StatusNotFound, Outcome: reply.OutcomeNotRun, Type: "invalid_request_error", Param: "model", Code: "model_not_found", Message: "the model " + strconv.Quote(name) + " does not exist"}
}
