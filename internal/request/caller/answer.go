package caller

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"primrosecourse/pkg/wire"
)

// usage is the usage object of an answer.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// choice is the only choice of an answer; which of its parts is set depends on the kind of the answer.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Logprobs     *struct{}    `json:"logprobs"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answer writes the response to a prompt, at once or as a stream of events.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *completion
	id      string
	created time.Time
	// writeTimeout bounds each write, so that a caller that stops reading does not hold the request.
	writeTimeout time.Duration

	started bool
	// held are the bytes of a character whose rest has not come yet.
	held []byte
	text []byte
	err  error
}

// add takes the next part of the answer.
func (a *answer) add(text string) {
	if !a.request.stream {
		a.text = append(a.text, text...)
		return
	}
	a.held = append(a.held, text...)
	n := wholeCharacters(a.held)
	if n > 0 {
		a.chunk(string(a.held[:n]), nil)
		a.held = append(a.held[:0], a.held[n:]...)
	}
}

// wholeCharacters returns the length of b without an unfinished character at its end. JSON can carry only whole ones.
func wholeCharacters(b []byte) int {
	for i := len(b) - 1; i >= max(0, len(b)-utf8.UTFMax); i-- {
		if utf8.RuneStart(b[i]) {
			if !utf8.FullRune(b[i:]) {
				return i
			}
			break
		}
	}
	return len(b)
}

// finish completes the answer.
func (a *answer) finish(f wire.Finish, u usage) {
	reason := "stop"
	if f == wire.FinishLength {
		reason = "length"
	}
	if !a.request.stream {
		text := string(a.text)
		c := choice{FinishReason: &reason}
		if a.request.chat {
			c.Message = &chatMessage{Role: "assistant", Content: &text}
		} else {
			c.Text = &text
		}
		body := a.body(false)
		body.Choices, body.Usage = []choice{c}, &u
		a.w.Header().Set("Content-Type", "application/json")
		a.deadline()
		a.started = true
		a.err = json.NewEncoder(a.w).Encode(body)
		return
	}
	a.chunk(string(a.held), &reason)
	a.held = nil
	if a.request.includeUsage {
		body := a.body(true)
		body.Choices, body.Usage = []choice{}, &u
		a.event("", body)
	}
	a.raw("data: [DONE]\n\n")
}

// fail ends a stream that began with an error event, and without [DONE].
func (a *answer) fail(f *refusal) { a.event("error", f.problem(a.id)) }

func (a *answer) chunk(text string, reason *string) {
	body := a.body(true)
	c := choice{FinishReason: reason}
	if a.request.chat {
		c.Delta = &chatMessage{}
		if !a.started {
			c.Delta.Role = "assistant"
		}
		if text != "" {
			c.Delta.Content = &text
		}
	} else {
		c.Text = &text
	}
	body.Choices = []choice{c}
	a.event("", body)
}

func (a *answer) body(chunk bool) answerBody {
	b := answerBody{ID: "cmpl-" + a.id, Object: "text_completion", Created: a.created.Unix(), Model: a.request.model}
	if a.request.chat {
		b.ID, b.Object = "chatcmpl-"+a.id, "chat.completion"
		if chunk {
			b.Object = "chat.completion.chunk"
		}
	}
	return b
}

func (a *answer) event(name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		a.err = err
		return
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	a.raw(name + "data: " + string(data) + "\n\n")
}

func (a *answer) raw(s string) {
	if a.err != nil {
		return
	}
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	a.deadline()
	if _, a.err = a.w.Write([]byte(s)); a.err == nil {
		a.err = a.control.Flush()
	}
}

func (a *answer) deadline() { _ = a.control.SetWriteDeadline(time.Now().Add(a.writeTimeout)) }
