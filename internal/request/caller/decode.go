package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"primrosecourse/pkg/token"
)

// completion is a decoded completion or chat completion request.
type completion struct {
	model        string
	prompt       []uint32
	maxTokens    int
	stream       bool
	includeUsage bool
	cacheKey     string
	chat         bool
}

// maxCacheKeyBytes is the maximum length of prompt_cache_key.
const maxCacheKeyBytes = 1024

type requestBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	PromptCacheKey string `json:"prompt_cache_key"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// decodeCompletion decodes the body of a completion request, or of a chat completion request if chat is true. Unknown fields
// are ignored. limit is the maximum and the default number of tokens of the answer. The error text may be sent to the caller.
func decodeCompletion(body []byte, chat bool, limit int) (c completion, err error) {
	defer func() {
		if err == nil {
			return
		}
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			err = errors.Newf("field %q cannot be a %s", typeErr.Field, typeErr.Value)
		}
	}()
	var b requestBody
	if err = json.Unmarshal(body, &b); err != nil {
		return c, err
	}
	c = completion{model: b.Model, stream: b.Stream, cacheKey: b.PromptCacheKey, chat: chat, maxTokens: limit}
	c.includeUsage = b.StreamOptions != nil && b.StreamOptions.IncludeUsage
	for _, n := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > limit {
			return c, errors.Newf("max_tokens is %d, allowed are 1 to %d", *n, limit)
		}
		c.maxTokens = *n
	}
	switch {
	case c.model == "":
		return c, errors.New("model is missing")
	case b.N != nil && *b.N != 1:
		return c, errors.New("n must be 1")
	case len(c.cacheKey) > maxCacheKeyBytes:
		return c, errors.Newf("prompt_cache_key is longer than %d bytes", maxCacheKeyBytes)
	}
	if chat {
		c.prompt, err = decodeMessages(b.Messages)
	} else {
		c.prompt, err = decodePrompt(b.Prompt)
	}
	if err == nil && len(c.prompt) == 0 {
		err = errors.New("the prompt is empty")
	}
	return c, err
}

// decodePrompt decodes a prompt given as a string, a list of one string or a list of token identifiers.
func decodePrompt(raw json.RawMessage) ([]uint32, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return nil, errors.New("prompt is missing")
	}
	if raw[0] == '"' {
		var text string
		err := json.Unmarshal(raw, &text)
		return token.Encode(text), err
	}
	var tokens []uint32
	if json.Unmarshal(raw, &tokens) == nil {
		return tokens, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return token.Encode(list[0]), nil
	}
	return nil, errors.New("prompt must be a string or a list of token identifiers")
}

// decodeMessages encodes the messages in their order, each after a line with its role, and then the role line of the answer.
// A continued conversation thus shares a token prefix with the requests before it.
func decodeMessages(list []message) ([]uint32, error) {
	if len(list) == 0 {
		return nil, errors.New("messages is missing or empty")
	}
	var text strings.Builder
	for i, m := range list {
		if m.Role == "" {
			return nil, errors.Newf("messages[%d] has no role", i)
		}
		content, err := decodeContent(m.Content)
		if err != nil {
			return nil, errors.Wrapf(err, "messages[%d]", i)
		}
		fmt.Fprintf(&text, "<|%s|>\n%s\n", m.Role, content)
	}
	text.WriteString("<|assistant|>\n")
	return token.Encode(text.String()), nil
}

// decodeContent decodes message content given as a string, null or a list of text parts. Other kinds of parts are refused.
func decodeContent(raw json.RawMessage) (string, error) {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", errors.New("content must be a string or a list of text parts")
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.Newf("content of type %q is not supported", p.Type)
		}
		joined.WriteString(p.Text)
	}
	return joined.String(), nil
}
