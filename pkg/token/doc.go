// Package token encodes text as token identifiers and decodes it back.
//
// The vocabulary consists of the 256 byte values, so that every text has exactly one encoding and no model file is needed. The
// vocabularies of models are not supported.
//
// # Usage
//
//	ids := token.Encode("three words here")
//	text := token.Decode(ids)
package token
