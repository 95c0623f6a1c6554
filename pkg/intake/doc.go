// Package intake records how many requests endpoints take, by their own statements.
//
// An endpoint in need states in the headers of its answers the rate of requests that it takes from all processes together. The statement
// holds until an answer to a later request states another rate or none, or until the endpoint restarts. Answers may overtake each other,
// so a statement is replaced by a higher one, or by none, only if the request was sent after the statement had arrived; a lower rate
// applies at once.
//
// An endpoint that shuts down says so as well, which holds until it restarts, and one that refuses a request may state for how long it wants no
// more from this process.
//
// Processes share the rate by telling each other how many requests they sent of late and how many they wanted to send; see Admit.
//
// The package does no input or output and reads no clock. A Table is safe for concurrent use.
//
// # Usage
//
//	t := intake.New()
//	change := t.Observe(now, sentAt, endpointID, intake.Statement{HasRate: true, Rate: 6.4})
//	if d := t.Admit(now, endpointID, processes, rand.Float64()); d.Admitted {
//		t.Sent(now, endpointID)
//		// send the request
//	}
//	reports, covered := t.Reports(now, 40, nil) // to other processes, which call SetPeer
package intake
