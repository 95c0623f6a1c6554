// Package token turns text into token identifiers and back.
//
// The vocabulary is the 256 byte values, so that every text has exactly one encoding and no model file is needed. It
// does not know any model's own vocabulary.
//
// # Usage
//
//	ids := token.Encode("three words here")
//	text := token.Decode(ids)
package token
