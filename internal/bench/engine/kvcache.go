package engine

import (
	"encoding/json"
	"net/http"
)

// kvCache describes the KV cache of an attempt; it holds no cache data.
type kvCache struct {
	Attempt string `json:"attempt"`
	// Prompt is the prompt's hash.
	Prompt uint64 `json:"prompt,string"`
	// Tokens is the number of generated tokens that the cache covers.
	Tokens int `json:"tokens"`
}

func (s *Server) exportCache(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("attempt")
	s.mu.Lock()
	k, ok := s.exports.get(id)
	if a := s.attempts[id]; a != nil {
		k, ok = a.kvCache(), true
	}
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no KV cache of this attempt", http.StatusNotFound)
		return
	}
	respond(w, k)
}

func (s *Server) importCache(w http.ResponseWriter, r *http.Request) {
	var k kvCache
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&k)
	if err != nil || k.Tokens < 0 || k.Attempt != r.PathValue("attempt") {
		http.Error(w, "invalid KV cache", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.imports.put(k.Attempt, k)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// accessCaches looks up the prompt in the prefix cache and in the imported KV
// caches, and adds it to the prefix cache. The tokens before From, which a
// previous attempt generated, must be recomputed unless an imported KV cache
// covers them.
func (s *Server) accessCaches(a *attempt) usage {
	tokens, cached := s.cache.access(a.body.Prompt)
	u := usage{Prompt: tokens, Cached: cached, Recomputed: tokens - cached + a.body.From}
	if a.body.Import == "" {
		return u
	}
	s.mu.Lock()
	k, ok := s.imports.get(a.body.Import)
	s.mu.Unlock()
	if ok && k.Prompt == a.promptHash {
		u.Cached = tokens
		u.Recomputed = max(0, a.body.From-k.Tokens)
	}
	return u
}
