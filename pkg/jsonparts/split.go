package jsonparts

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Array calls part with each value of a JSON array, in order, and with none for null. It returns the first error of part, and an error if
// the array cannot be split. A value may be empty.
func Array(b []byte, part func(value []byte) error) error {
	i := skipSpace(b, 0)
	if isNull(b[i:]) {
		return nil
	}
	return split(b, i, '[', ']', func(i int) (next int, err error) {
		next, err = skipValue(b, i)
		if err != nil {
			return 0, err
		}
		return next, part(b[i:next])
	})
}

// Object calls member with the key and the value of each member of a JSON object, in order. Its errors are those of Array. The value may be
// empty.
func Object(b []byte, member func(key string, value []byte) error) error {
	return split(b, skipSpace(b, 0), '{', '}', func(i int) (next int, err error) {
		end, err := skipString(b, i)
		if err != nil {
			return 0, err
		}
		var key string
		if err = json.Unmarshal(b[i:end], &key); err != nil {
			return 0, err
		}
		i = skipSpace(b, end)
		if i == len(b) || b[i] != ':' {
			return 0, errors.Newf("offset %d: want a colon", i)
		}
		i = skipSpace(b, i+1)
		next, err = skipValue(b, i)
		if err != nil {
			return 0, err
		}
		return next, member(key, b[i:next])
	})
}

// split calls part with the offset of each comma-separated part between the brackets, the first of which is at offset i. part returns the
// offset behind the part. Only space may follow.
func split(b []byte, i int, open, closing byte, part func(i int) (next int, err error)) (err error) {
	if i == len(b) || b[i] != open {
		return errors.Newf("offset %d: want %q", i, open)
	}
	i = skipSpace(b, i+1)
	for first := true; i < len(b) && b[i] != closing; first = false {
		if !first {
			if b[i] != ',' {
				return errors.Newf("offset %d: want a comma", i)
			}
			i = skipSpace(b, i+1)
		}
		if i, err = part(i); err != nil {
			return err
		}
		i = skipSpace(b, i)
	}
	if i == len(b) {
		return errors.New("the document ends early")
	}
	if end := skipSpace(b, i+1); end != len(b) {
		return errors.Newf("offset %d: text after the document", end)
	}
	return nil
}

// skipValue returns the offset behind the value at offset i. It counts brackets of both kinds alike. The value may be empty.
func skipValue(b []byte, i int) (next int, err error) {
	depth := 0
	for i < len(b) {
		switch b[i] {
		case '"':
			if i, err = skipString(b, i); err != nil {
				return 0, err
			}
			if depth == 0 {
				return i, nil
			}
			continue
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return i, nil
			}
			if depth--; depth == 0 {
				return i + 1, nil
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i, nil
			}
		}
		i++
	}
	return 0, errors.New("the document ends inside a value")
}

// skipString returns the offset behind the string at offset i.
func skipString(b []byte, i int) (next int, err error) {
	if i == len(b) || b[i] != '"' {
		return 0, errors.Newf("offset %d: want a string", i)
	}
	for i++; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1, nil
		}
	}
	return 0, errors.New("the document ends inside a string")
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\r' || b[i] == '\n') {
		i++
	}
	return i
}

func isNull(b []byte) bool {
	return len(b) >= 4 && string(b[:4]) == "null" && skipSpace(b, 4) == len(b)
}
