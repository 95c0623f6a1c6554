// Package bounded decodes msgpack values from untrusted peers with memory that is bounded by the length of the input. Package msgpack
// itself allocates a list with the length that its head claims before it reads an element, and descends as deep as the input does.
//
// # Usage
//
//	var m message
//	err := bounded.Unmarshal(datagram, &m)
package bounded

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is the number of lists and maps that may lie inside each other.
const maxDepth = 64

// Errors of Check and Unmarshal, besides those of package msgpack.
var (
	// ErrTruncated means that the input ends before the value does, or cannot contain as many elements as a head claims.
	ErrTruncated = errors.New("msgpack value is truncated")
	// ErrTooDeep means that more lists and maps lie inside each other than are allowed.
	ErrTooDeep = errors.New("msgpack value is nested too deeply")
	// ErrInvalid means that the input contains a byte that starts no value.
	ErrInvalid = errors.New("msgpack value is invalid")
	// ErrTooMany means that the input has more values than the caller allows.
	ErrTooMany = errors.New("msgpack input has too many values")
)

// Unmarshal checks b and decodes it into v.
func Unmarshal(b []byte, v any) error { return UnmarshalMax(b, len(b), v) }

// UnmarshalMax is Unmarshal for an input with at most maxValues values. It suits large inputs, of which each byte may be a value that
// takes up much more memory.
func UnmarshalMax(b []byte, maxValues int, v any) error {
	if err := Check(b, maxValues); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// Check returns an error unless b begins with a complete msgpack value that consists of at most maxValues values: the elements of lists,
// the keys and elements of maps, and the lists and maps themselves.
func Check(b []byte, maxValues int) error {
	var stack [maxDepth]int // the values left in each open list or map
	depth, values := 0, 0
	for {
		elements, rest, err := next(b)
		if err != nil {
			return err
		}
		if values++; values > maxValues {
			return ErrTooMany
		}
		if b = rest; elements > len(b) {
			return ErrTruncated
		}
		if elements > 0 {
			if depth == maxDepth {
				return ErrTooDeep
			}
			stack[depth] = elements
			depth++
			continue
		}
		for depth > 0 {
			if stack[depth-1]--; stack[depth-1] > 0 {
				break
			}
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// next reads a value, or the head of a list or map, whose elements follow: twice as many for a map.
func next(b []byte) (elements int, rest []byte, err error) {
	if len(b) == 0 {
		return 0, nil, ErrTruncated
	}
	code, b := b[0], b[1:]
	switch {
	case msgpcode.IsFixedNum(code):
		return 0, b, nil
	case msgpcode.IsFixedMap(code):
		return 2 * int(code&msgpcode.FixedMapMask), b, nil
	case msgpcode.IsFixedArray(code):
		return int(code & msgpcode.FixedArrayMask), b, nil
	case msgpcode.IsFixedString(code):
		return skip(b, uint64(code&msgpcode.FixedStrMask))
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 0, b, nil
	case msgpcode.Uint8, msgpcode.Int8:
		return skip(b, 1)
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return skip(b, 2)
	case msgpcode.FixExt2:
		return skip(b, 3)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skip(b, 4)
	case msgpcode.FixExt4:
		return skip(b, 5)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skip(b, 8)
	case msgpcode.FixExt8:
		return skip(b, 9)
	case msgpcode.FixExt16:
		return skip(b, 17)
	}
	return nextLong(code, b)
}

// nextLong reads the rest of a value whose code is followed by a length.
func nextLong(code byte, b []byte) (elements int, rest []byte, err error) {
	size := 0
	switch code {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		size = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		size = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		size = 4
	default:
		return 0, nil, ErrInvalid
	}
	if len(b) < size {
		return 0, nil, ErrTruncated
	}
	var wide [8]byte
	copy(wide[8-size:], b[:size])
	length, b := binary.BigEndian.Uint64(wide[:]), b[size:]
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return int(length), b, nil
	case msgpcode.Map16, msgpcode.Map32:
		return 2 * int(length), b, nil
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		length++ // the type
	}
	return skip(b, length)
}

func skip(b []byte, n uint64) (elements int, rest []byte, err error) {
	if uint64(len(b)) < n {
		return 0, nil, ErrTruncated
	}
	return 0, b[n:], nil
}
