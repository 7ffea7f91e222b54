package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
)

const (
	// PromptBlockBytes is the length of one prefix block in bytes.
	PromptBlockBytes = 256
	// maxPromptBlocks bounds the hashed part of a prompt.
	maxPromptBlocks = 64
	// bytesPerToken is the estimated length of a token.
	bytesPerToken = 4
)

// DescribePrompt hashes the prefix blocks of a prompt and estimates its length.
func DescribePrompt(text string) dispatch.Prompt {
	digest := xxhash.New()
	var blocks []uint64
	for start := 0; start+PromptBlockBytes <= len(text) && len(blocks) < maxPromptBlocks; start += PromptBlockBytes {
		_, _ = digest.WriteString(text[start : start+PromptBlockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return dispatch.Prompt{Blocks: blocks, Tokens: (len(text) + bytesPerToken - 1) / bytesPerToken}
}
