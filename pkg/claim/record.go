package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind,Action,Standing -output=enum_string.go

// Kind is the step that a record tells of.
type Kind uint8

// The kinds of records. Numbers are stored and never reused.
const (
	// Claimed tells that the incarnation in Nonce, and no other, may send the order, once.
	Claimed Kind = iota + 1
	// Completed holds the response of the service.
	Completed
	// Abandoned tells that the order was certainly not sent under Nonce and never will be.
	Abandoned
)

// Key names an order: the SHA-256 of organisation and idempotency key, cut to 128 bits.
type Key [16]byte

// Digest identifies what an order asks for: a SHA-256 cut to 128 bits.
type Digest [16]byte

// Nonce tells one claim from every other. Incarnation must differ between any two starts of any agent.
type Nonce struct {
	Incarnation uint64
	Sequence    uint64
}

// Record is one entry of a claim log. Completed and Abandoned repeat key and digest, so that they can be understood
// after the segment with the Claimed record was deleted.
type Record struct {
	Kind   Kind
	Key    Key
	Digest Digest
	Nonce  Nonce
	At     time.Time
	// Status, ContentType and Body are the response of the service in a Completed record.
	Status      int
	ContentType string
	Body        []byte
	// Dropped is the size in bytes of a response that was too large to store; Body is empty then.
	Dropped int
}

// Bounds of a stored response. A larger one is stored as its status only, because four of them fill a segment.
const (
	MaxStoredBytes       = 4 << 10
	MaxContentTypeLength = 128
)

// KeyOf returns the name of an order. Organisations never share one.
func KeyOf(organisation, key string) (k Key) {
	h := sha256.New()
	writeBytes(h, []byte(organisation))
	writeBytes(h, []byte(key))
	copy(k[:], h.Sum(nil))
	return k
}

// DigestOf returns the digest of what a call asks for. Another path or method counts as another body.
func DigestOf(service, method, path string, body []byte) (d Digest) {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		writeBytes(h, part)
	}
	copy(d[:], h.Sum(nil))
	return d
}

// writeBytes puts the length first, so that two different lists never give the same input.
func writeBytes(h hash.Hash, b []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	h.Write(n[:])
	h.Write(b)
}

// Complete returns the Completed record that follows the claim r. A response over the bounds is stored as status only.
func (r Record) Complete(at time.Time, status int, contentType string, body []byte) Record {
	done := Record{Kind: Completed, Key: r.Key, Digest: r.Digest, Nonce: r.Nonce, At: stamp(at), Status: status}
	if len(body) > MaxStoredBytes || len(contentType) > MaxContentTypeLength {
		done.Dropped = max(len(body), 1)
		return done
	}
	done.ContentType, done.Body = contentType, body
	return done
}

// Abandon returns the Abandoned record that follows the claim r. It may be written only if the order was certainly not sent.
func (r Record) Abandon(at time.Time) Record {
	return Record{Kind: Abandoned, Key: r.Key, Digest: r.Digest, Nonce: r.Nonce, At: stamp(at)}
}

// NewClaim returns a Claimed record.
func NewClaim(key Key, digest Digest, nonce Nonce, at time.Time) Record {
	return Record{Kind: Claimed, Key: key, Digest: digest, Nonce: nonce, At: stamp(at)}
}

// stamp drops what the log does not store, so that a record is equal before and after it was written.
func stamp(at time.Time) time.Time { return at.UTC().Truncate(time.Millisecond) }
