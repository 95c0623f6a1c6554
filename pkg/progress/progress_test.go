package progress_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"primrosecourse/pkg/progress"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestDoubtful holds both sides: an endpoint that went dark is doubted well before its callers' deadlines, and slow but sound ones
// are not.
func TestDoubtful(t *testing.T) {
	const ms = time.Millisecond
	first := progress.Attempt{SentAt: start, Expected: 150 * ms}
	queued := progress.Attempt{SentAt: start, Expected: time.Second}
	stream := progress.Attempt{SentAt: start, ProgressAt: at(time.Second), Pause: 5 * ms}
	slowStream := progress.Attempt{SentAt: start, ProgressAt: at(time.Second), Pause: 120 * ms}
	for _, test := range []struct {
		name     string
		heard    time.Duration
		now      time.Duration
		attempts []progress.Attempt
		want     bool
	}{
		{"nothing in flight", 0, 10 * time.Second, nil, false},
		{"first token in time", 0, 300 * ms, []progress.Attempt{first}, false},
		{"no first token", 0, 360 * ms, []progress.Attempt{first}, true},
		{"heard by another gateway", 200 * ms, 500 * ms, []progress.Attempt{first}, false},
		{"silent since it was heard by another gateway", 200 * ms, 560 * ms, []progress.Attempt{first}, true},
		{"behind a long queue", 0, 1400 * ms, []progress.Attempt{queued}, false},
		{"silent for longer than the queue explains", 0, 1600 * ms, []progress.Attempt{queued}, true},
		{"queued attempt explains the silence of another", 0, 1400 * ms, []progress.Attempt{first, queued}, false},
		{"stream that went dark", time.Second, 1360 * ms, []progress.Attempt{stream}, true},
		{"steps ten times slower", time.Second, 1900 * ms, []progress.Attempt{slowStream}, false},
		{"slow stream that went dark", time.Second, 1970 * ms, []progress.Attempt{slowStream}, true},
		{"a new attempt beside a silent stream", time.Second, 1500 * ms,
			[]progress.Attempt{stream, {SentAt: at(1400 * ms), Expected: 100 * ms}}, false},
		{"very long expectations are bounded", 0, 2501 * ms, []progress.Attempt{{SentAt: start, Expected: time.Minute}}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			heard := time.Time{}
			if test.heard > 0 {
				heard = at(test.heard)
			}
			is.New(t).Equal(progress.Rule{}.Doubtful(at(test.now), progress.Endpoint{HeardAt: heard, OthersHeardAt: at(test.now), Attempts: test.attempts}), test.want)
		})
	}
}

// TestOwnCut guards against a gateway that is cut off and takes all its endpoints for silent.
func TestOwnCut(t *testing.T) {
	is := is.New(t)
	e := progress.Endpoint{HeardAt: at(time.Second), OthersHeardAt: at(900 * time.Millisecond),
		Attempts: []progress.Attempt{{SentAt: start, ProgressAt: at(time.Second), Pause: time.Millisecond}}}
	is.True(!progress.Rule{}.Doubtful(at(5*time.Second), e))
	e.OthersHeardAt = at(2 * time.Second)
	is.True(progress.Rule{}.Doubtful(at(5*time.Second), e))
}

// TestReleaseAt guards against releasing requests of an endpoint that had nothing to send before they were sent.
func TestReleaseAt(t *testing.T) {
	is := is.New(t)
	attempts := []progress.Attempt{{SentAt: at(2 * time.Second)}, {SentAt: at(time.Second)}}
	const silence = progress.DefaultReleaseSilence
	is.Equal(progress.Rule{}.ReleaseAt(progress.Endpoint{Attempts: attempts}), at(time.Second+silence))
	is.Equal(progress.Rule{}.ReleaseAt(progress.Endpoint{Attempts: attempts, HeardAt: start}), at(time.Second+silence))
	is.Equal(progress.Rule{}.ReleaseAt(progress.Endpoint{Attempts: attempts, HeardAt: at(3 * time.Second)}), at(3*time.Second+silence))
	is.Equal(progress.Rule{ReleaseSilence: time.Minute}.ReleaseAt(progress.Endpoint{Attempts: attempts}), at(time.Second+time.Minute))
}

// TestReleaseOrder plays the load of a quarter of the engines going dark with fewer retries left than requests: those who lose most
// without a retry go first. It guards against ending what can go on nowhere else.
func TestReleaseOrder(t *testing.T) {
	is := is.New(t)
	attempts := []progress.Attempt{
		{SentAt: start, Deadline: at(time.Second)},                                          // 0: must not be repeated
		{SentAt: start, Deadline: at(3 * time.Second), Repeatable: true},                    // 1
		{SentAt: start, Deadline: at(2 * time.Second), Repeatable: true},                    // 2
		{SentAt: start, Deadline: at(4 * time.Second), Repeatable: true, ProgressAt: at(1)}, // 3: begun
		{SentAt: start, Deadline: at(1), Repeatable: true},                                  // 4: too late
	}
	is.Equal(progress.ReleaseOrder(at(500*time.Millisecond), attempts), []int{3, 2, 1})
}

func BenchmarkDoubtful(b *testing.B) {
	e := progress.Endpoint{HeardAt: start, OthersHeardAt: at(time.Minute)}
	for n := range 16 {
		e.Attempts = append(e.Attempts, progress.Attempt{SentAt: start, Expected: time.Duration(n) * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		progress.Rule{}.Doubtful(at(time.Second), e)
	}
}
