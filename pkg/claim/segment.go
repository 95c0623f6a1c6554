package claim

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"primrosecourse/pkg/bounded"
)

// ObjectKind is the kind of the platform objects that contain segments.
const ObjectKind = "Claims"

// SegmentBytes is the maximum size of an encoded segment. Each commit rewrites the last segment, so a larger maximum costs
// more bytes per commit and a smaller one more objects.
const SegmentBytes = 16 << 10

// ErrMalformed is returned for a stored segment that cannot be decoded. Its orders must not run.
var ErrMalformed = errors.New("claim: malformed segment")

// Segment is the value of one object of a claim log. It changes only by conditional update. A sealed segment never changes,
// and segment N+1 is created only after segment N was sealed.
type Segment struct {
	// Term is raised by each takeover.
	Term uint64
	// Owner is the name of the endpoint whose agent owns the shard, Incarnation identifies the start of that agent.
	Owner       string
	Incarnation uint64
	Sealed      bool
	Records     []Record
}

// Name returns the object name of a segment. The names of one shard sort in the order of the segment numbers.
func Name(service string, shard int, number uint64) string {
	return fmt.Sprintf("%s%010d", Prefix(service, shard), number)
}

// Prefix returns the common prefix of the object names of all segments of a shard. Each service has its own logs, because
// its endpoints cannot run the orders of another service.
func Prefix(service string, shard int) string {
	return fmt.Sprintf("%s/%04d/", url.PathEscape(service), shard)
}

// Number returns the segment number from an object name.
func Number(name string) (n uint64, err error) {
	n, err = strconv.ParseUint(name[strings.LastIndexByte(name, '/')+1:], 10, 64)
	return n, errors.Wrapf(err, "claim: object name %q", name)
}

// Encode returns the msgpack form of s. Records are arrays, because field names would add about 70 bytes to each.
func (s Segment) Encode() ([]byte, error) {
	var b bytes.Buffer
	err := msgpack.NewEncoder(&b).Encode(&s)
	return b.Bytes(), errors.Wrap(err, "claim: encode segment")
}

// Decode decodes a segment. Any error is marked as ErrMalformed.
func Decode(value []byte) (s Segment, err error) {
	if err = bounded.Unmarshal(value, &s); err != nil {
		return Segment{}, errors.Mark(errors.Wrap(err, "claim: decode segment"), ErrMalformed)
	}
	return s, nil
}

// recordFields is the number of array elements of a stored record.
const recordFields = 10

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *Record) EncodeMsgpack(e *msgpack.Encoder) error {
	return errors.CombineErrors(e.EncodeArrayLen(recordFields), e.EncodeMulti(uint8(r.Kind), r.Key[:],
		r.Digest[:], r.Nonce.Incarnation, r.Nonce.Sequence, r.At.UnixMilli(), r.Status,
		r.ContentType, r.Body, r.Dropped))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Record) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n != recordFields {
		return errors.Newf("record has the wrong number of fields: %d", n)
	}
	var kind uint8
	var key, digest []byte
	var atMillis int64
	err = d.DecodeMulti(&kind, &key, &digest, &r.Nonce.Incarnation, &r.Nonce.Sequence, &atMillis,
		&r.Status, &r.ContentType, &r.Body, &r.Dropped)
	if err != nil {
		return err
	}
	if len(key) != len(r.Key) || len(digest) != len(r.Digest) || kind < uint8(Claimed) || kind > uint8(Abandoned) {
		return errors.New("record has an invalid key, digest or kind")
	}
	r.Kind, r.At = Kind(kind), time.UnixMilli(atMillis).UTC()
	copy(r.Key[:], key)
	copy(r.Digest[:], digest)
	return nil
}

// Upper bounds of encoded sizes. A record takes 36 bytes for key and digest, five integers of up to 9 bytes, and up to 10
// bytes for the kind, the array header and the lengths of content type and body. A segment without its records and without
// the characters of Owner takes less than 100 bytes, field names included, so 256 is a safe bound.
const (
	recordOverheadBytes  = 36 + 5*9 + 10
	segmentOverheadBytes = 256
)

// size returns an upper bound of the encoded size of r.
func (r Record) size() int { return recordOverheadBytes + len(r.ContentType) + len(r.Body) }

// Append returns a copy of s with as many of the pending records, in order, as certainly fit into SegmentBytes, and the
// number of pending records in it. The copy is sealed if not all of them fit; the rest belong in the next segment.
func (s Segment) Append(pending []Record) (next Segment, appended int) {
	size := segmentOverheadBytes + len(s.Owner)
	for _, r := range s.Records {
		size += r.size()
	}
	for _, r := range pending {
		if size += r.size(); size > SegmentBytes {
			s.Sealed = true
			break
		}
		appended++
	}
	records := make([]Record, 0, len(s.Records)+appended)
	s.Records = append(append(records, s.Records...), pending[:appended]...)
	return s, appended
}

// Newest returns the time of the newest record, or the zero time if there is none.
func (s Segment) Newest() (newest time.Time) {
	for _, r := range s.Records {
		if r.At.After(newest) {
			newest = r.At
		}
	}
	return newest
}
