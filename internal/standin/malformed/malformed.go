// Package malformed has HTTP/1.1 responses whose heads have a blank or a control byte in a field name.
//
// # Usage
//
//	for name, response := range malformed.Responses("Version: 1\r\n", "body") { ... }
package malformed

import "fmt"

// Responses returns responses with status 200 by what is malformed in their heads. fields are valid lines of the heads, each with its CRLF. The
// body, at least two bytes, is broken off in some.
func Responses(fields, body string) map[string]string {
	status := "HTTP/1.1 200 OK\r\n"
	head, chunks := status+fields, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	length, whole := fmt.Sprintf("Content-Length: %d\r\n", len(body)), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return map[string]string{
		"blank in a name":             head + "X-A b: 1\r\n" + whole,
		"blank in the first name":     status + "X-A b: 1\r\n" + fields + whole,
		"blank behind a name":         head + "X-Ab : 1\r\n" + whole,
		"blank before a name":         head + "X-A: 1\r\n X-B: 1\r\n" + whole,
		"tab in a name":               head + "X-A\tb: 1\r\n" + whole,
		"NUL in a name":               head + "X-A\x00: 1\r\n" + whole,
		"CR in a name":                head + "X-A\r: 1\r\n" + whole,
		"length, broken off":          head + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body[:len(body)/2],
		"folded length, broken off":   head + fmt.Sprintf("X-A: 1\r\n Content-Length: %d\r\n\r\n", len(body)) + body[:len(body)/2],
		"a second length":             head + "Content-Length : 1\r\n" + whole,
		"chunks":                      head + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"chunks and a length":         head + "Transfer-Encoding : chunked\r\n" + length + "\r\n" + chunks,
		"interim response":            "HTTP/1.1 103 Early Hints\r\nX-A b: 1\r\n\r\n" + head + whole,
		"behind an interim response":  "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" + head + "X-A b: 1\r\n" + whole,
		"blank in the name of length": head + fmt.Sprintf("Content Length: %d\r\n\r\n", len(body)) + body,
	}
}
