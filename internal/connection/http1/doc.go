// Package http1 checks the field names of HTTP/1.1 responses, in their heads and trailers.
//
// RFC 9110, section 5.1, defines a field name as a token, and RFC 9112, section 5.1, allows no whitespace between it and the colon. net/http
// takes a blank in a name, keeps that name as it is and finds the field by no look-up: "Content-Length : 4" is no length, and
// "Transfer-Encoding : chunked" makes the sizes of chunks a part of the body. It also joins a line that begins with whitespace to the one
// before, where RFC 9112, section 5.2, lets a proxy refuse the response instead. What the sender meant by such a head is not known, so that
// neither its fields nor the end of its body can be relied on.
//
// The names are checked as the bytes arrive, before a parser has had the whole head. Field values, status lines and bodies are left to the
// parser, which refuses control bytes in values.
//
// A response that is refused is no sign that the request did not run, and its connection must carry no other request.
//
// # Usage
//
// For clients of net/http, and for a reader of its own with each head and response:
//
//	client := &http.Client{Transport: http1.NewTransport(&http.Transport{DisableCompression: true})}
//
//	var head http1.Head
//	_, err = head.Check(received)
//	response, err := http.ReadResponse(r, request)
//	http1.CheckTrailer(response, conn)
package http1
