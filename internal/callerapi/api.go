// Package callerapi is the callers' HTTP interface: an OpenAI-compatible chat
// completion, streamed or not, calls of plain services, deferred work and access
// to a request by its id. Handlers decode, send a message to the router and
// encode its response; every decision is the router's.
package callerapi

import (
	"net/http"
	"sync"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/cornelhold/cornelhold/internal/router"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 4 << 20

type api struct {
	router *router.Router
	active *router.Active
}

// New returns the handler of the callers' interface.
func New(r *router.Router, active *router.Active) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", notFound)
	installProblemErrors()
	config := huma.DefaultConfig("cornelhold", "1")
	config.DocsPath = ""
	humaAPI := humago.New(mux, config)
	a := &api{router: r, active: active}
	huma.Register(humaAPI, huma.Operation{
		OperationID:  "chat-completion",
		Method:       http.MethodPost,
		Path:         "/v1/chat/completions",
		Summary:      "Answer a chat completion, streamed by server-sent events or whole",
		MaxBodyBytes: maxBodyBytes,
	}, a.chatCompletion)
	huma.Register(humaAPI, huma.Operation{
		OperationID: "request-events",
		Method:      http.MethodGet,
		Path:        "/v1/requests/{id}/events",
		Summary:     "Continue the stream of a request after Last-Event-ID",
	}, a.requestEvents)
	huma.Register(humaAPI, huma.Operation{
		OperationID: "request-result",
		Method:      http.MethodGet,
		Path:        "/v1/requests/{id}/result",
		Summary:     "Wait for the whole answer of a request",
	}, a.requestResult)
	huma.Register(humaAPI, huma.Operation{
		OperationID: "request-status",
		Method:      http.MethodGet,
		Path:        "/v1/requests/{id}",
		Summary:     "Tell how far a request is",
	}, a.requestState)
	a.registerCalls(humaAPI)
	return mux
}

// installProblemErrors makes huma report malformed requests as a Problem. The
// hook is a global variable of package huma, so it is set once.
var installProblemErrors = sync.OnceFunc(func() { huma.NewError = newInputProblem })
