// Package jsonparts splits a JSON document into values without decoding them. encoding/json rejects a whole document for one value that is
// malformed or nested more than 10,000 deep. Here such a value is a part like any other, as long as its quotes and brackets are balanced, and
// fails only when it is decoded by itself. It is for documents with parts from several writers.
//
// The parts are slices of the document, and the depth of a value takes no memory. Brackets of both kinds count alike. The package does not
// check or decode values. Where encoding/json decodes a document, the parts are those that it decodes.
//
// # Usage
//
//	err := jsonparts.Array(document, func(value []byte) error {
//		var instance Instance
//		if json.Unmarshal(value, &instance) == nil {
//			instances = append(instances, instance)
//		}
//		return nil
//	})
package jsonparts
