package openai

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	openaigo "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

func officialClient(s *system, options ...option.RequestOption) openaigo.Client {
	return openaigo.NewClient(append([]option.RequestOption{option.WithBaseURL(s.URL + "/v1"), option.WithAPIKey(testToken)}, options...)...)
}

func chat(content string) openaigo.ChatCompletionNewParams {
	return openaigo.ChatCompletionNewParams{Model: "sack-assist", Temperature: openaigo.Float(0.5),
		Messages: []openaigo.ChatCompletionMessageParamUnion{openaigo.SystemMessage("be brief"), openaigo.UserMessage(content)}}
}

func chatText(content string) string { return text("system: be brief\nuser: " + content + "\n") }

// Guards against responses that the official client cannot read.
func TestOfficialClient(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, nil)
	c, ctx := officialClient(s), context.Background()

	whole, err := c.Chat.Completions.New(ctx, chat("how many sacks"))
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, chatText("how many sacks"))
	is.Equal(whole.Choices[0].FinishReason, "stop")
	is.Equal(whole.Usage.CompletionTokens, int64(testLength))

	params := chat("and \"barrels\"\n\u0001")
	params.StreamOptions.IncludeUsage = openaigo.Bool(true)
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	acc := openaigo.ChatCompletionAccumulator{}
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, chatText("and \"barrels\"\n\u0001"))
	is.Equal(acc.Usage.TotalTokens, int64(testLength+3))

	old := c.Completions.NewStreaming(ctx, openaigo.CompletionNewParams{Model: "sack-assist", MaxTokens: openaigo.Int(5),
		Prompt: openaigo.CompletionNewParamsPromptUnion{OfString: openaigo.String("plain")}})
	got, reason := "", ""
	for old.Next() {
		got += old.Current().Choices[0].Text
		reason += string(old.Current().Choices[0].FinishReason)
	}
	is.NoErr(old.Err())
	is.True(got != "" && strings.HasPrefix(text("plain"), got))
	is.Equal(reason, "length")

	models, err := c.Models.List(ctx)
	is.NoErr(err)
	is.Equal(len(models.Data), 1) // the plain service is no model
	m, err := c.Models.Get(ctx, "sack-assist")
	is.NoErr(err)
	is.Equal(m.OwnedBy, "anna")
}

// Guards against errors and retries that the official client mistakes.
func TestOfficialClientErrors(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 1, nil)
	c, ctx := officialClient(s), context.Background()

	var apiError *openaigo.Error
	params := chat("x")
	params.Model = "absent"
	_, err := c.Chat.Completions.New(ctx, params)
	is.True(errors.As(err, &apiError))
	is.Equal(apiError.Code, "model_not_found")
	is.Equal(apiError.Response.Header.Get(reply.OutcomeHeader), reply.NotRun)

	wrong := officialClient(s, option.WithAPIKey("wrong"))
	_, err = wrong.Chat.Completions.New(ctx, chat("x"))
	is.True(errors.As(err, &apiError))
	is.Equal(apiError.StatusCode, http.StatusUnauthorized)

	full := reply.Rejected(http.StatusTooManyRequests, "rate_limited", "too many requests")
	full.RetryAfter = 10 * time.Millisecond
	var rejection error = full
	s.reject.Store(&rejection)
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.reject.Store(nil)
	}()
	whole, err := c.Chat.Completions.New(ctx, chat("again")) // the client waits and repeats
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, chatText("again"))
}
