package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/router"
)

const (
	notReadyRetryAfter = time.Second
	defaultMaxTokens   = 256
)

type chatInput struct {
	Authorization string `header:"Authorization"`
	Body          chatRequest
}

type chatRequest struct {
	_                   struct{}      `additionalProperties:"true"`
	Model               string        `json:"model" doc:"Service name, or service:adapter"`
	Messages            []chatMessage `json:"messages" minItems:"1"`
	Stream              bool          `json:"stream,omitempty"`
	MaxTokens           int           `json:"max_tokens,omitempty" minimum:"0"`
	MaxCompletionTokens int           `json:"max_completion_tokens,omitempty" minimum:"0"`
}

type chatMessage struct {
	_       struct{}    `additionalProperties:"true"`
	Role    string      `json:"role"`
	Content chatContent `json:"content" required:"false"`
}

type chatChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

func (a *api) chatCompletion(_ context.Context, in *chatInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		submission := newSubmission(e, in.Body)
		if refusal := checkSubmission(e.spec, submission); refusal != nil {
			return refusal
		}
		handle, refusal := a.router.Submit(e.ctx.Context(), submission)
		if refusal != nil {
			return refusal
		}
		defer handle.Release()
		e.ctx.SetHeader("X-Request-Id", string(handle.ID))
		if in.Body.Stream {
			streamEvents(e.ctx, handle, 0)
			return nil
		}
		writeFullResponse(e.ctx, handle)
		return nil
	}), nil
}

func newSubmission(e exchange, body chatRequest) router.Submission {
	service, adapter, _ := strings.Cut(body.Model, ":")
	s := router.Submission{
		Team:      e.team.Name,
		Service:   fleet.ServiceName(service),
		Adapter:   adapter,
		Prompt:    joinMessages(body.Messages),
		MaxTokens: max(body.MaxTokens, body.MaxCompletionTokens),
		Streamed:  body.Stream,
		Model:     body.Model,
	}
	if s.MaxTokens == 0 {
		s.MaxTokens = defaultMaxTokens
	}
	if configured, ok := e.spec.Services[s.Service]; ok {
		s.Class = configured.Class
	}
	return s
}

// checkSubmission refuses requests that no endpoint of the service could serve.
func checkSubmission(spec *config.Spec, s router.Submission) *fleet.Refusal {
	service, ok := spec.Services[s.Service]
	if !ok {
		return nil // the dispatcher refuses an unknown service
	}
	if service.Kind != config.ServiceModel {
		return fleet.Refuse(fleet.RefusedUnknownService, 0, "service "+string(s.Service)+
			" is not a model service; call it at /v1/services/"+string(s.Service)+"/calls/OPERATION")
	}
	return checkTokens(spec, service, s.MaxTokens)
}

// checkTokens refuses a token limit above the length of the model's context.
func checkTokens(spec *config.Spec, service *config.Service, maxTokens int) *fleet.Refusal {
	model, ok := spec.Models[service.Model]
	if ok && maxTokens > model.ContextTokens {
		return fleet.Refuse(fleet.RefusedInvalid, 0, fmt.Sprintf(
			"max_tokens is %d, the model's context has %d tokens; ask for fewer", maxTokens, model.ContextTokens))
	}
	return nil
}

func joinMessages(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	return b.String()
}

// writeFullResponse collects all frames and writes the completion as one JSON
// document. If another router takes the request over, the caller is redirected
// to the path of its result.
func writeFullResponse(ctx huma.Context, handle *router.Handle) {
	var text strings.Builder
	for next := 0; ; {
		frames, err := handle.Read(ctx.Context(), next)
		if err != nil {
			return
		}
		if frames.Moved {
			redirectToResult(ctx, handle)
			return
		}
		for _, t := range frames.Texts {
			text.WriteString(t)
		}
		next += len(frames.Texts)
		if !frames.Ended {
			continue
		}
		if frames.Refusal != nil {
			writeProblem(ctx, frames.Refusal)
			return
		}
		writeCompletion(ctx, handle, text.String(), frames.Finish)
		return
	}
}

func writeCompletion(ctx huma.Context, handle *router.Handle, text, finish string) {
	ctx.SetHeader("Content-Type", "application/json")
	_ = json.NewEncoder(ctx.BodyWriter()).Encode(chatChunk{
		ID: string(handle.ID), Object: "chat.completion", Created: time.Now().Unix(), Model: handle.Model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: chatContent(text)}, FinishReason: &finish}},
	})
}
