package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
)

// Request is one request of a mix.
type Request struct {
	// Index is the position in the order of arrival, starting at 0.
	Index int
	// Arrival is the time of arrival, measured from the start of the run.
	Arrival   time.Duration
	Class     *Class
	Workspace Workspace
	Path      string
	Body      []byte
	// Key is the idempotency key; it is empty for chats and completions.
	Key string
	// ResendDelay is the time after the start of the first call until the same
	// call is sent again; 0 means that it is sent once. The latency of the
	// second call is measured from the planned arrival plus ResendDelay.
	ResendDelay time.Duration
	// Prompt is the prompt that an engine receives.
	Prompt    string
	MaxTokens int
}

// maxResendDelay limits ResendDelay. It is short, so that some of the first
// calls are still running when the second call arrives.
const maxResendDelay = 200 * time.Millisecond

var vocabulary = strings.Fields("rice sack moisture grade husk bran lot scale ledger debit credit balance " +
	"needle stitch sleeve collar pattern hem seam fabric linen wool booking deposit customer invoice " +
	"delivery order morning evening harvest season paddy boat canal mill store price weight count batch " +
	"colour size measure fitting draft sketch repair return thread button pocket lining sample report")

// generator derives the requests of a run from a seed. Two generators with the
// same configuration return the same requests.
type generator struct {
	mix        Mix
	keyPrefix  string
	rate       float64
	tokenScale float64
	random     *rand.Rand
	arrival    time.Duration
	index      int
}

func newGenerator(c Config) *generator {
	return &generator{mix: c.Mix, keyPrefix: c.KeyPrefix, rate: c.Rate, tokenScale: c.TokenScale, random: rand.New(rand.NewPCG(c.Seed, 0))}
}

// next returns the next request; arrivals follow a Poisson process.
func (g *generator) next() Request {
	g.arrival += time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
	class := weightedChoice(g.random, g.mix.Classes, func(c Class) float64 { return c.Weight })
	req := Request{
		Index:     g.index,
		Arrival:   g.arrival,
		Class:     class,
		Workspace: *weightedChoice(g.random, g.mix.Workspaces, func(w Workspace) float64 { return w.Weight }),
		MaxTokens: max(1, int(float64(class.MaxTokens)*g.tokenScale)),
	}
	g.index++
	prefix := ""
	if class.PrefixWords > 0 {
		prefix = sharedPrefix(class, g.random.IntN(class.PrefixVariants))
	}
	text := randomWords(g.random, class.MinWords+g.random.IntN(class.MaxWords-class.MinWords+1)) + " " + strconv.Itoa(req.Index)
	if class.Marker != "" {
		text += " " + class.Marker
	}
	g.setContent(&req, prefix, text)
	return req
}

// setContent sets the fields of a request that depend on its kind.
func (g *generator) setContent(req *Request, prefix, text string) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var stream *streamOptions
	if req.Class.Stream {
		stream = &streamOptions{IncludeUsage: true}
	}
	switch req.Class.Kind {
	case KindChat:
		req.Path = "/v1/chat/completions"
		req.Prompt = answer.ChatPrompt([]answer.Message{{Role: "system", Content: prefix}, {Role: "user", Content: text}})
		req.Body = encode(struct {
			Model     string         `json:"model"`
			Messages  []message      `json:"messages"`
			MaxTokens int            `json:"max_tokens"`
			Stream    bool           `json:"stream,omitempty"`
			Options   *streamOptions `json:"stream_options,omitempty"`
		}{req.Class.CatalogueEntry, []message{{"system", prefix}, {"user", text}}, req.MaxTokens, req.Class.Stream, stream})
	case KindCompletion:
		req.Path = "/v1/completions"
		req.Prompt = prefix + " " + text
		req.Body = encode(struct {
			Model     string         `json:"model"`
			Prompt    string         `json:"prompt"`
			MaxTokens int            `json:"max_tokens"`
			Stream    bool           `json:"stream,omitempty"`
			Options   *streamOptions `json:"stream_options,omitempty"`
		}{req.Class.CatalogueEntry, req.Prompt, req.MaxTokens, req.Class.Stream, stream})
	case KindService:
		req.Path = "/v1/services/" + req.Class.CatalogueEntry + req.Class.Path
		req.Key = fmt.Sprintf("%s-%d", g.keyPrefix, req.Index)
		req.Body = encode(struct {
			Note string `json:"note"`
		}{text})
		if g.random.Float64() < req.Class.ResendShare {
			req.ResendDelay = 1 + time.Duration(g.random.Int64N(int64(maxResendDelay)))
		}
	}
}

// encode marshals a request body of strings, numbers and booleans, which cannot
// fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

// sharedPrefix returns a variant of the prefix that prompts of a class share. It
// does not depend on the seed of the run, because it models a document that all
// callers use.
func sharedPrefix(c *Class, variant int) string {
	return randomWords(rand.New(rand.NewPCG(uint64(c.PrefixWords), uint64(variant))), c.PrefixWords)
}

func randomWords(random *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
	}
	return b.String()
}

// weightedChoice returns a random element, with a probability proportional to
// its weight.
func weightedChoice[T any](random *rand.Rand, elements []T, weight func(T) float64) *T {
	total := 0.0
	for _, e := range elements {
		total += weight(e)
	}
	x := random.Float64() * total
	for i, e := range elements {
		if x -= weight(e); x < 0 {
			return &elements[i]
		}
	}
	return &elements[len(elements)-1]
}
