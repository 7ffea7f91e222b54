// Package engine contains the client of model engines and of plain services.
// A model engine speaks the OpenAI completions API over HTTP with server-sent
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
