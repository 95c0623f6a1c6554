// Package forward handles one caller's request from admission to its answer: it identifies the organisation, chooses an
// endpoint, retries where that is safe, and relays the answer or a refusal to the caller.
//
// It follows these rules:
//
//   - A refusal whose status says that the request did not run is sent only if no byte of the request was sent to an endpoint,
//     or if each endpoint that received it stated that it did not run it. A request that is given up otherwise ends with 502,
//     504, the server error of an endpoint or a closed connection. The one exception is the 400 for a request that an endpoint
//     refuses as malformed: it is sent even if the request may have run at an earlier endpoint, and its body then states that
//     the outcome is unknown.
//   - A request that is neither idempotent nor answered by a resumable stream is retried only while it is known not to have run.
//   - A resumable stream continues at another endpoint after the last complete event that was sent to the caller. A stream that
//     has begun and is not continued ends with a closed connection, so that it does not look complete.
//   - An answer is relayed only if it carries the request's ID, has no content encoding and, for a status below 300, carries the
//     endpoint's seal. A short answer that is not a stream is read completely before its first byte is relayed.
//   - When the caller disconnects, the connection to the endpoint is closed, which cancels the work there.
//   - Retries draw on a retry budget for each service, which all gateways share.
//   - With Handler.Hedging, an idempotent request that is not answered in the usual time is sent to a second endpoint while the first one still
//     works on it. This is an attempt and a retry like others; the first answer is relayed and the other attempt is cancelled.
//   - A request that was running at successive crashes of endpoints, and has not ended well since, is quarantined: it is refused
//     (RequestWatch). So is a request with a part of the prompt that crashed several endpoints (PartWatch). A request whose endpoint crashed before its answer began is retried only if one more
//     crash would not quarantine it and none of its parts was there when another endpoint crashed.
//   - No request is sent once its deadline has passed or its caller's close has arrived, even if the process has not come to see
//     either.
//
// Headers are read and written by a Codec, so that the package does not depend on the platform's header names.
//
// # Usage
//
//	h := &forward.Handler{Codec: codec, View: registry, Table: placement.New(), Endpoints: pool, ...}
//	server := front.New(h)
package forward
