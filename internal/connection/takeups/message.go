package takeups

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/bounded"
	"primrosecourse/pkg/builds"
)

const (
	// maxStreams limits the streams of a call.
	maxStreams = 256
	// maxQuestionBytes limits a question: an ID takes up 9 bytes at most. maxAnswerBytes limits an answer.
	maxQuestionBytes = 4 << 10
	maxAnswerBytes   = 64 << 10
	// readTime limits the time in which a question must arrive.
	readTime = time.Second
)

// question asks for streams. The field names are those of its msgpack encoding.
type question struct {
	IDs []uint64
}

// answer is what a gateway answers. IDs and Builds have the same length and contain the streams that the gateway has recorded; a build is empty if it
// is not certain.
type answer struct {
	Plan     uint64
	Complete bool
	IDs      []uint64
	Builds   []string
}

var errLists = errors.New("lists differ in length")

// decode decodes an answer, by stream.
func decode(b []byte) (a answer, began map[uint64]string, err error) {
	if err = bounded.Unmarshal(b, &a); err != nil {
		return a, nil, err
	}
	if len(a.IDs) != len(a.Builds) {
		return a, nil, errLists
	}
	began = make(map[uint64]string, len(a.IDs))
	for i, id := range a.IDs {
		began[id] = a.Builds[i]
	}
	return a, began, nil
}

// ServeHTTP answers other gateways.
func (e *Exchange) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	// The deadline can't be set on writers of tests, which need none.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTime))
	b, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxQuestionBytes))
	if err != nil {
		http.Error(w, "question can't be read", http.StatusBadRequest)
		return
	}
	var q question
	if err := bounded.Unmarshal(b, &q); err != nil || len(q.IDs) > maxStreams {
		http.Error(w, "question is invalid", http.StatusBadRequest)
		return
	}
	body, err := msgpack.Marshal(e.answer(time.Now(), q.IDs))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The write fails if the calling gateway has disconnected, which needs no handling.
	_, _ = w.Write(body)
}

// answer returns what the book tells about streams.
func (e *Exchange) answer(now time.Time, ids []uint64) *answer {
	// Streams that begin by a later plan are not those that the question is about.
	a := &answer{Plan: e.Book.Plan().Revision(), Complete: e.Book.Complete(now)}
	for _, id := range ids {
		if build, recorded := e.Book.Began(now, id); recorded {
			a.IDs, a.Builds = append(a.IDs, id), append(a.Builds, build)
		}
	}
	return a
}

// of returns the part of an answer that is about one stream.
func (a *answer) of(began map[uint64]string, id uint64) builds.Answer {
	build, recorded := began[id]
	return builds.Answer{Build: build, Recorded: recorded, Plan: a.Plan, Complete: a.Complete}
}
