package callerapi

import (
	"encoding/json"
	"strings"

	"github.com/danielgtaylor/huma/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors about malformed requests.
var Error = errs.Class("request")

// chatContent is the text of a chat message. Clients send it as a string, as a
// list of text parts, or as null.
type chatContent string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text *string
	if json.Unmarshal(data, &text) == nil {
		*c = ""
		if text != nil {
			*c = chatContent(*text)
		}
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return Error.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return Error.New("content part of type %q is not supported; send text parts only", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// Schema implements huma.SchemaProvider.
func (chatContent) Schema(huma.Registry) *huma.Schema {
	return &huma.Schema{Description: "A string, or a list of parts {\"type\": \"text\", \"text\": string}"}
}
