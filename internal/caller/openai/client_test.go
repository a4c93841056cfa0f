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

func officialClient(s *testServer, options ...option.RequestOption) openaigo.Client {
	return openaigo.NewClient(append([]option.RequestOption{option.WithBaseURL(s.URL + "/v1"), option.WithAPIKey(testToken)}, options...)...)
}

func chatParams(content string) openaigo.ChatCompletionNewParams {
	return openaigo.ChatCompletionNewParams{Model: "sack-assist", Temperature: openaigo.Float(0.5),
		Messages: []openaigo.ChatCompletionMessageParamUnion{openaigo.SystemMessage("be brief"), openaigo.UserMessage(content)}}
}

func chatText(prompt string) string { return responseText("system: be brief\nuser: " + prompt + "\n") }

// Guards against responses that the official client cannot decode.
func TestOfficialClient(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2, nil)
	c, ctx := officialClient(s), context.Background()

	res, err := c.Chat.Completions.New(ctx, chatParams("how many sacks"))
	is.NoErr(err)
	is.Equal(res.Choices[0].Message.Content, chatText("how many sacks"))
	is.Equal(res.Choices[0].FinishReason, "stop")
	is.Equal(res.Usage.CompletionTokens, int64(responseTokens))

	params := chatParams("and \"barrels\"\n\u0001")
	params.StreamOptions.IncludeUsage = openaigo.Bool(true)
	stream := c.Chat.Completions.NewStreaming(ctx, params)
	acc := openaigo.ChatCompletionAccumulator{}
	for stream.Next() {
		is.True(acc.AddChunk(stream.Current()))
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, chatText("and \"barrels\"\n\u0001"))
	is.Equal(acc.Usage.TotalTokens, int64(responseTokens+3))

	legacy := c.Completions.NewStreaming(ctx, openaigo.CompletionNewParams{Model: "sack-assist", MaxTokens: openaigo.Int(5),
		Prompt: openaigo.CompletionNewParamsPromptUnion{OfString: openaigo.String("plain")}})
	got, reason := "", ""
	for legacy.Next() {
		got += legacy.Current().Choices[0].Text
		reason += string(legacy.Current().Choices[0].FinishReason)
	}
	is.NoErr(legacy.Err())
	is.True(got != "" && strings.HasPrefix(responseText("plain"), got))
	is.Equal(reason, "length")

	models, err := c.Models.List(ctx)
	is.NoErr(err)
	is.Equal(len(models.Data), 1) // the plain service is not listed as a model
	m, err := c.Models.Get(ctx, "sack-assist")
	is.NoErr(err)
	is.Equal(m.OwnedBy, "anna")
}

// Guards against error responses that the official client misinterprets or does
// not retry.
func TestOfficialClientErrors(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1, nil)
	c, ctx := officialClient(s), context.Background()

	var apiError *openaigo.Error
	params := chatParams("x")
	params.Model = "absent"
	_, err := c.Chat.Completions.New(ctx, params)
	is.True(errors.As(err, &apiError))
	is.Equal(apiError.Code, "model_not_found")
	is.Equal(apiError.Response.Header.Get(reply.OutcomeHeader), reply.OutcomeNotRun)

	unauthorized := officialClient(s, option.WithAPIKey("wrong"))
	_, err = unauthorized.Chat.Completions.New(ctx, chatParams("x"))
	is.True(errors.As(err, &apiError))
	is.Equal(apiError.StatusCode, http.StatusUnauthorized)

	limited := reply.Rejected(http.StatusTooManyRequests, "rate_limited", "too many requests")
	limited.RetryAfter = 10 * time.Millisecond
	var rejection error = limited
	s.reject.Store(&rejection)
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.reject.Store(nil)
	}()
	res, err := c.Chat.Completions.New(ctx, chatParams("again")) // the client waits and retries
	is.NoErr(err)
	is.Equal(res.Choices[0].Message.Content, chatText("again"))
}
