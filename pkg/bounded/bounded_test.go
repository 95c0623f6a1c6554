package bounded_test

import (
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/bounded"
)

// value has a field for each kind of msgpack code.
type value struct {
	Numbers []int64
	Floats  []float64
	Single  float32
	Texts   []string
	Bytes   []byte
	Map     map[string][]uint64
	Inner   []*value
	At      time.Time
	Flag    bool
}

func example() value {
	v := value{Numbers: []int64{0, -1, -33, 127, 128, 255, 256, 1 << 15, 1 << 16, 1 << 31, 1 << 32, math.MinInt64}, Floats: []float64{1.5},
		Texts: []string{"", "a", strings.Repeat("b", 31), strings.Repeat("c", 32), strings.Repeat("d", 300), strings.Repeat("e", 70_000)},
		Bytes: make([]byte, 300), Map: map[string][]uint64{"x": {1, 2}, "y": nil}, At: time.Unix(1, 5), Flag: true}
	for range 20 { // a list with a long head
		v.Inner = append(v.Inner, &value{Numbers: []int64{1}}, nil)
	}
	return v
}

// TestEveryCode guards against a complete value that is refused and a truncated one that is not.
func TestEveryCode(t *testing.T) {
	is := is.New(t)
	b, err := msgpack.Marshal(example())
	is.NoErr(err)
	var v value
	is.NoErr(bounded.Unmarshal(b, &v))
	is.Equal(len(v.Inner), 40)
	is.NoErr(bounded.Unmarshal(append(b, 1, 2, 3), &v)) // as package msgpack, it ignores what follows
	for n := range len(b) {
		if err := bounded.Check(b[:n], n); !errors.Is(err, bounded.ErrTruncated) {
			t.Fatalf("%d of %d bytes: %v", n, len(b), err)
		}
	}
}

// TestHostileInput guards against a short input that makes the decoder allocate what it claims or descend without end.
func TestHostileInput(t *testing.T) {
	for name, test := range map[string]struct {
		input string
		err   error
	}{
		"list":               {"\x81\xa7Numbers\xdd\x04\x00\x00\x00", bounded.ErrTruncated},
		"list of structs":    {"\x81\xa5Inner\xdd\x02\x00\x00\x00\x80", bounded.ErrTruncated},
		"largest list":       {"\x81\xa7Numbers\xdd\xff\xff\xff\xff", bounded.ErrTruncated},
		"largest map":        {"\x81\xa3Map\xdf\xff\xff\xff\xff\xa1a", bounded.ErrTruncated},
		"long text":          {"\x81\xa5Bytes\xc6\xff\xff\xff\xffx", bounded.ErrTruncated},
		"long extension":     {"\x81\xa2At\xc9\xff\xff\xff\xffx", bounded.ErrTruncated},
		"unknown field":      {"\x81\xa1X\xdd\xff\xff\xff\xff", bounded.ErrTruncated},
		"lists in lists":     {strings.Repeat("\x91", 1<<20), bounded.ErrTooDeep},
		"maps in maps":       {strings.Repeat("\x81\xa5Inner\x91", 1<<18), bounded.ErrTooDeep},
		"code without value": {"\x81\xa4Flag\xc1", bounded.ErrInvalid},
		"nothing":            {"", bounded.ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			input := []byte(test.input)
			runtime.ReadMemStats(&before)
			var v value
			err := bounded.Unmarshal(input, &v)
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, test.err))
			is.True(after.TotalAlloc-before.TotalAlloc < 1<<20)
		})
	}
	is := is.New(t)
	is.True(errors.Is(bounded.UnmarshalMax([]byte("\x93\x01\x02\x03"), 3, &[]int{}), bounded.ErrTooMany))
	is.NoErr(bounded.UnmarshalMax([]byte("\x93\x01\x02\x03"), 4, &[]int{}))
}

// FuzzCheck guards against an input that passes the check and that package msgpack finds truncated, or that allocates much.
func FuzzCheck(f *testing.F) {
	b, err := msgpack.Marshal(example())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("\x81\xa7Numbers\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 1<<16 || bounded.Check(b, len(b)) != nil {
			return
		}
		var raw msgpack.RawMessage
		if err := msgpack.Unmarshal(b, &raw); err != nil {
			t.Fatal(err)
		}
		var v value
		_ = msgpack.Unmarshal(b, &v)
	})
}
