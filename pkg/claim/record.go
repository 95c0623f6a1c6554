package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind,Action,Standing -output=enum_string.go

// Kind is the step of an order that a record documents.
type Kind uint8

// Kinds of records. Their numbers are stored and are never reused.
const (
	// Claimed allows the incarnation in Nonce, and no other, to send the order once.
	Claimed Kind = iota + 1
	// Completed contains the response of the service.
	Completed
	// Abandoned states that the order was certainly not sent under Nonce and never will be.
	Abandoned
)

// Key identifies an order: the SHA-256 of organisation and idempotency key, truncated to 128 bits.
type Key [16]byte

// Digest identifies the request of an order: the SHA-256 of service, method, path and body, truncated to 128 bits.
type Digest [16]byte

// Nonce identifies a claim uniquely. Incarnation must differ between any two starts of any agents, Sequence between any two
// claims of one incarnation.
type Nonce struct {
	Incarnation uint64
	Sequence    uint64
}

// Record documents one step of an order in a claim log. Completed and Abandoned records repeat key and digest, so that they
// can be interpreted after the segment with the Claimed record has been deleted.
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
	// Dropped is not 0 if the response was too large to store; ContentType and Body are empty then. It is the size of the
	// body in bytes, 1 for an empty body with a ContentType that is too long, or the limit of the reader if the body was not
	// read whole.
	Dropped int
}

// Limits in bytes of a stored response. Of a larger response, only the status and the size (Dropped) are stored, because only
// three records with a body of MaxStoredBytes fit into a segment.
const (
	MaxStoredBytes       = 4 << 10
	MaxContentTypeLength = 128
)

// KeyOf returns the key of an order. Equal idempotency keys of different organisations have different results.
func KeyOf(organisation, key string) (k Key) {
	h := sha256.New()
	writeBytes(h, []byte(organisation))
	writeBytes(h, []byte(key))
	copy(k[:], h.Sum(nil))
	return k
}

// DigestOf returns the digest of a request. A different service, method or path gives a different digest, just as a
// different body does.
func DigestOf(service, method, path string, body []byte) (d Digest) {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(path), body} {
		writeBytes(h, part)
	}
	copy(d[:], h.Sum(nil))
	return d
}

// writeBytes writes the length of b before b, so that two different lists never give the same hash input.
func writeBytes(h hash.Hash, b []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(b)))
	h.Write(length[:])
	h.Write(b)
}

// Complete returns the Completed record of the claim r. Of a response over the limits, only the status
// and, in Dropped, the size are stored.
func (r Record) Complete(at time.Time, status int, contentType string, body []byte) Record {
	completed := Record{Kind: Completed, Key: r.Key, Digest: r.Digest, Nonce: r.Nonce, At: truncateTime(at), Status: status}
	if len(body) > MaxStoredBytes || len(contentType) > MaxContentTypeLength {
		completed.Dropped = max(len(body), 1)
		return completed
	}
	completed.ContentType, completed.Body = contentType, body
	return completed
}

// Abandon returns the Abandoned record of the claim r. It may be written only if the order was certainly not sent.
func (r Record) Abandon(at time.Time) Record {
	return Record{Kind: Abandoned, Key: r.Key, Digest: r.Digest, Nonce: r.Nonce, At: truncateTime(at)}
}

// NewClaim returns a Claimed record.
func NewClaim(key Key, digest Digest, nonce Nonce, at time.Time) Record {
	return Record{Kind: Claimed, Key: key, Digest: digest, Nonce: nonce, At: truncateTime(at)}
}

// truncateTime removes the time zone and the fraction below a millisecond, which the log does not store, so that a record is
// equal before and after it is written and read.
func truncateTime(at time.Time) time.Time { return at.UTC().Truncate(time.Millisecond) }
