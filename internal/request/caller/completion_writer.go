package caller

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"

	"primrosecourse/pkg/wire"
)

// usage is the token usage reported in an answer.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// choice is the single choice of an answer. Text is set for completions, Message for chat completions and Delta for chunks of
// streamed chat completions.
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

// completionWriter writes the answer to a prompt, either as one JSON object or as a stream of server-sent events.
type completionWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// announceStop is called before the header is sent.
	announceStop func(http.ResponseWriter)
	completion   *completion
	id           string
	created      time.Time
	// writeTimeout bounds each write, so that a caller that stops reading does not keep its request running.
	writeTimeout time.Duration

	// started is true once the first write of the answer has begun.
	started bool
	// partial holds the first bytes of a UTF-8 character whose remaining bytes have not arrived yet.
	partial []byte
	// text is the answer so far if it is not streamed.
	text []byte
	// err is the error that ended the writing, if any.
	err error
}

// writeText appends text to the answer. A streamed answer is written up to its last complete character.
func (cw *completionWriter) writeText(text string) {
	if !cw.completion.stream {
		cw.text = append(cw.text, text...)
		return
	}
	cw.partial = append(cw.partial, text...)
	n := completeLen(cw.partial)
	if n > 0 {
		cw.writeChunk(string(cw.partial[:n]), nil)
		cw.partial = append(cw.partial[:0], cw.partial[n:]...)
	}
}

// completeLen returns the length of b without an incomplete UTF-8 character at its end. JSON strings can contain only complete
// characters.
func completeLen(b []byte) int {
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

// finish writes the rest of the answer with its finish reason and token usage. A stream contains the usage only if the request
// asked for it.
func (cw *completionWriter) finish(end wire.Finish, u usage) {
	reason := "stop"
	if end == wire.FinishLength {
		reason = "length"
	}
	if !cw.completion.stream {
		text := string(cw.text)
		c := choice{FinishReason: &reason}
		if cw.completion.chat {
			c.Message = &chatMessage{Role: "assistant", Content: &text}
		} else {
			c.Text = &text
		}
		body := cw.newBody(false)
		body.Choices, body.Usage = []choice{c}, &u
		cw.announceStop(cw.w)
		cw.w.Header().Set("Content-Type", "application/json")
		cw.extendWriteDeadline()
		cw.started = true
		cw.err = json.NewEncoder(cw.w).Encode(body)
		return
	}
	cw.writeChunk(string(cw.partial), &reason)
	cw.partial = nil
	if cw.completion.includeUsage {
		body := cw.newBody(true)
		body.Choices, body.Usage = []choice{}, &u
		cw.writeEvent("", body)
	}
	cw.write("data: [DONE]\n\n")
}

// fail ends a stream that has already begun: it writes an error event and no [DONE].
func (cw *completionWriter) fail(f *failure) { cw.writeEvent("error", f.problem(cw.id)) }

func (cw *completionWriter) writeChunk(text string, reason *string) {
	body := cw.newBody(true)
	c := choice{FinishReason: reason}
	if cw.completion.chat {
		c.Delta = &chatMessage{}
		if !cw.started {
			c.Delta.Role = "assistant"
		}
		if text != "" {
			c.Delta.Content = &text
		}
	} else {
		c.Text = &text
	}
	body.Choices = []choice{c}
	cw.writeEvent("", body)
}

func (cw *completionWriter) newBody(streamed bool) answerBody {
	b := answerBody{ID: "cmpl-" + cw.id, Object: "text_completion", Created: cw.created.Unix(), Model: cw.completion.model}
	if cw.completion.chat {
		b.ID, b.Object = "chatcmpl-"+cw.id, "chat.completion"
		if streamed {
			b.Object = "chat.completion.chunk"
		}
	}
	return b
}

func (cw *completionWriter) writeEvent(name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		cw.err = err
		return
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	cw.write(name + "data: " + string(data) + "\n\n")
}

func (cw *completionWriter) write(s string) {
	if cw.err != nil {
		return
	}
	if !cw.started {
		cw.started = true
		cw.announceStop(cw.w)
		cw.w.Header().Set("Content-Type", "text/event-stream")
		cw.w.Header().Set("Cache-Control", "no-store")
	}
	cw.extendWriteDeadline()
	if _, cw.err = cw.w.Write([]byte(s)); cw.err == nil {
		cw.err = cw.control.Flush()
	}
}

func (cw *completionWriter) extendWriteDeadline() {
	_ = cw.control.SetWriteDeadline(time.Now().Add(cw.writeTimeout))
}
