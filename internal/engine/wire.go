// Package engine contains the client of model engines and of plain services.
// A model engine serves the OpenAI completions API over HTTP with server-sent
// events, extended by the fields that the platform documents: request id,
// attempt, resume text and index, priority.
package engine

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority is lower for requests that are served first.
	Priority int `json:"priority"`
	// RequestID and Attempt are echoed in every frame.
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	// Resume is the text that an earlier attempt produced, in NextIndex tokens.
	Resume    string `json:"resume,omitempty"`
	NextIndex int    `json:"next_index,omitempty"`
	// ImportFrom is the URL of an exported KV cache that covers prompt and
	// resume text; an engine that can't import it recomputes.
	ImportFrom string `json:"import_from,omitempty"`
}

// Paths and headers of the engine interface other than completions.
const (
	// IncarnationHeader carries the identity of the engine process.
	IncarnationHeader = "X-Engine-Incarnation"
	StatusPath        = "/v1/status"
	CancelPath        = "/v1/cancel"
	ExportPath        = "/v1/kv/export"
	KVPath            = "/v1/kv/"
)

// Status is the response to GET /v1/status.
type Status struct {
	// Incarnation changes whenever the engine process restarts.
	Incarnation string `json:"incarnation"`
	// Running and Waiting count streams.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefilledTokens counts the prompt tokens that the engine has processed
	// since its start because they were neither cached nor imported.
	PrefilledTokens int `json:"prefilled_tokens"`
}

// StreamRef is the body of POST /v1/cancel and POST /v1/kv/export.
type StreamRef struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// ExportResult is the response to POST /v1/kv/export, which stops the stream.
type ExportResult struct {
	// Path is where the KV cache can be fetched; it serves one download.
	Path   string `json:"path"`
	Tokens int    `json:"tokens"`
}

// CompletionChunk is one server-sent event of a completion.
type CompletionChunk struct {
	RequestID string             `json:"request_id"`
	Attempt   uint32             `json:"attempt"`
	Choices   []CompletionChoice `json:"choices"`
	// CachedTokens is the part of the prompt found in the prefix cache; it is
	// set on the first chunk.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

// CompletionChoice is one token of a completion.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}
