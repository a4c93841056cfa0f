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
	// Index is the position in the order of arrival.
	Index int
	// At is the time of arrival since the start.
	At        time.Duration
	Class     *Class
	Workspace Workspace
	Path      string
	Body      []byte
	// Key is the idempotency key, or empty.
	Key string
	// Resend is how long after the first call the same call is sent again, or
	// 0.
	Resend time.Duration
	// Prompt is the prompt that an engine receives.
	Prompt    string
	MaxTokens int
}

// maxResend bounds the time until a call is sent again, so that some of the
// first calls are still running.
const maxResend = 200 * time.Millisecond

var vocabulary = strings.Fields("rice sack moisture grade husk bran lot scale ledger debit credit balance " +
	"needle stitch sleeve collar pattern hem seam fabric linen wool booking deposit customer invoice " +
	"delivery order morning evening harvest season paddy boat canal mill store price weight count batch " +
	"colour size measure fitting draft sketch repair return thread button pocket lining sample report")

// generator derives the requests of a run from its seed. Two generators with
// the same configuration return the same requests.
type generator struct {
	mix    Mix
	run    string
	rate   float64
	scale  float64
	random *rand.Rand
	at     time.Duration
	index  int
}

func newGenerator(c Config) *generator {
	return &generator{mix: c.Mix, run: c.Run, rate: c.Rate, scale: c.TokenScale, random: rand.New(rand.NewPCG(c.Seed, 0))}
}

// next returns the next request of a Poisson process.
func (g *generator) next() Request {
	g.at += time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
	class := pick(g.random, g.mix.Classes, func(c Class) float64 { return c.Weight })
	r := Request{
		Index:     g.index,
		At:        g.at,
		Class:     class,
		Workspace: *pick(g.random, g.mix.Workspaces, func(w Workspace) float64 { return w.Weight }),
		MaxTokens: max(1, int(float64(class.MaxTokens)*g.scale)),
	}
	g.index++
	shared := ""
	if class.Shared > 0 {
		shared = sharedText(class, g.random.IntN(class.Variants))
	}
	own := words(g.random, class.MinWords+g.random.IntN(class.MaxWords-class.MinWords+1)) + " " + strconv.Itoa(r.Index)
	if class.Marker != "" {
		own += " " + class.Marker
	}
	g.fill(&r, shared, own)
	return r
}

// fill sets the parts of a request that depend on its kind.
func (g *generator) fill(r *Request, shared, own string) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	var stream *options
	if r.Class.Stream {
		stream = &options{IncludeUsage: true}
	}
	switch r.Class.Kind {
	case Chat:
		r.Path = "/v1/chat/completions"
		r.Prompt = answer.ChatPrompt([]answer.Message{{Role: "system", Content: shared}, {Role: "user", Content: own}})
		r.Body = encode(struct {
			Model     string    `json:"model"`
			Messages  []message `json:"messages"`
			MaxTokens int       `json:"max_tokens"`
			Stream    bool      `json:"stream,omitempty"`
			Options   *options  `json:"stream_options,omitempty"`
		}{r.Class.Entry, []message{{"system", shared}, {"user", own}}, r.MaxTokens, r.Class.Stream, stream})
	case Completion:
		r.Path = "/v1/completions"
		r.Prompt = shared + " " + own
		r.Body = encode(struct {
			Model     string   `json:"model"`
			Prompt    string   `json:"prompt"`
			MaxTokens int      `json:"max_tokens"`
			Stream    bool     `json:"stream,omitempty"`
			Options   *options `json:"stream_options,omitempty"`
		}{r.Class.Entry, r.Prompt, r.MaxTokens, r.Class.Stream, stream})
	case Service:
		r.Path = "/v1/services/" + r.Class.Entry + r.Class.Path
		r.Key = fmt.Sprintf("%s-%d", g.run, r.Index)
		r.Body = encode(struct {
			Note string `json:"note"`
		}{own})
		if g.random.Float64() < r.Class.Resent {
			r.Resend = 1 + time.Duration(g.random.Int64N(int64(maxResend)))
		}
	}
}

// encode marshals a body of strings, numbers and booleans, which cannot fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

// sharedText is the beginning that prompts of a class have in common. It does
// not depend on the seed, like a pattern book that all callers use.
func sharedText(c *Class, variant int) string {
	return words(rand.New(rand.NewPCG(uint64(c.Shared), uint64(variant))), c.Shared)
}

func words(random *rand.Rand, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
	}
	return b.String()
}

// pick chooses an element with a probability proportional to its weight.
func pick[T any](random *rand.Rand, elements []T, weight func(T) float64) *T {
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
