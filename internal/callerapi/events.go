package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/router"
)

// callerWriteTimeout is how long a caller may block a write. The connection is
// closed then, and the caller may reconnect.
const callerWriteTimeout = 30 * time.Second

type eventsInput struct {
	Authorization string `header:"Authorization"`
	LastEventID   string `header:"Last-Event-ID"`
	ID            string `path:"id" maxLength:"100"`
}

// requestEvents continues the stream of a request. Event ids count frames from
// 1, so Last-Event-ID is the number of frames that the caller has received.
func (a *api) requestEvents(_ context.Context, in *eventsInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		from, refusal := parseEventID(in.LastEventID)
		if refusal != nil {
			return refusal
		}
		handle, refusal := a.router.Find(e.ctx.Context(), fleet.RequestID(in.ID), e.team.Name)
		if refusal != nil {
			return refusal
		}
		defer handle.Release()
		e.ctx.SetHeader("X-Request-Id", string(handle.ID))
		streamEvents(e.ctx, handle, from)
		return nil
	}), nil
}

func parseEventID(id string) (int, *fleet.Refusal) {
	if id == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(id)
	if err != nil || n < 0 {
		return 0, fleet.Refuse(fleet.RefusedInvalid, 0, "Last-Event-ID must be the id of an event of this stream")
	}
	return n, nil
}

// streamEvents writes frames as server-sent events. A refusal before the first
// frame becomes a problem response, a later one an error event. If another
// router takes the request over, the connection is aborted, since a stream that
// ends normally would look like a complete response.
func streamEvents(ctx huma.Context, handle *router.Handle, from int) {
	defer setWriteDeadline(ctx, time.Time{}) // the connection may serve another request
	started := false
	for next := from; ; {
		frames, err := handle.Read(ctx.Context(), next)
		if err != nil {
			return
		}
		if frames.Moved && len(frames.Texts) == 0 {
			panic(http.ErrAbortHandler)
		}
		if !started && frames.Refusal != nil && len(frames.Texts) == 0 {
			writeProblem(ctx, frames.Refusal)
			return
		}
		if !started {
			started = true
			ctx.SetHeader("Content-Type", "text/event-stream")
			ctx.SetHeader("Cache-Control", "no-store")
		}
		if !writeFrames(ctx, handle, frames, next) {
			return
		}
		next += len(frames.Texts)
		if frames.Ended {
			writeStreamEnd(ctx, frames.Refusal)
			return
		}
	}
}

// writeFrames writes the frames that follow the sent ones and reports whether
// all were written. The last frame of a completed request carries the finish
// reason; if that frame was already sent, an event without text carries it.
func writeFrames(ctx huma.Context, handle *router.Handle, frames router.Frames, sent int) bool {
	completed := frames.Ended && frames.Refusal == nil
	for i, text := range frames.Texts {
		finish := ""
		if completed && i == len(frames.Texts)-1 {
			finish = frames.Finish
		}
		if !writeEvent(ctx, handle, sent+i+1, text, finish) {
			return false
		}
	}
	if completed && len(frames.Texts) == 0 {
		return writeEvent(ctx, handle, sent, "", frames.Finish)
	}
	return true
}

func writeEvent(ctx huma.Context, handle *router.Handle, id int, text, finish string) bool {
	choice := chatChoice{Delta: &chatMessage{Role: "assistant", Content: chatContent(text)}}
	if finish != "" {
		choice.FinishReason = &finish
	}
	data, err := json.Marshal(chatChunk{
		ID: string(handle.ID), Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: handle.Model,
		Choices: []chatChoice{choice},
	})
	if err != nil {
		return false
	}
	setWriteDeadline(ctx, time.Now().Add(callerWriteTimeout))
	_, err = fmt.Fprintf(ctx.BodyWriter(), "id: %d\ndata: %s\n\n", id, data)
	flush(ctx)
	return err == nil
}

func writeStreamEnd(ctx huma.Context, refusal *fleet.Refusal) {
	if refusal != nil {
		data, _ := json.Marshal(map[string]Problem{"error": newProblem(refusal)})
		_, _ = fmt.Fprintf(ctx.BodyWriter(), "event: error\ndata: %s\n\n", data)
	} else {
		_, _ = fmt.Fprint(ctx.BodyWriter(), "data: [DONE]\n\n")
	}
	flush(ctx)
}

func flush(ctx huma.Context) {
	if f, ok := ctx.BodyWriter().(http.Flusher); ok {
		f.Flush()
	}
}

// setWriteDeadline sets the deadline of later writes if the server supports one.
// The zero time removes it.
func setWriteDeadline(ctx huma.Context, deadline time.Time) {
	if w, ok := ctx.BodyWriter().(http.ResponseWriter); ok {
		_ = http.NewResponseController(w).SetWriteDeadline(deadline)
	}
}
