// Package fault injects failures into the stand-ins of outside systems. Every stand-in wraps its HTTP handler with a
// Hook; tests set rules on the hook directly or, in a real process, over HTTP:
//
//	GET    /fault       200 with the JSON list of rules in force
//	POST   /fault       a JSON Rule; 200 with {"ID": n}
//	DELETE /fault       ends all rules
//	DELETE /fault?ID=n  ends one rule
//
// # Usage
//
//	var faults fault.Hook
//	handler := faults.Wrap(mux)
//	faults.Set(fault.Rule{Kind: fault.ReplyLost, Method: "PUT", Route: "/objects/Config", Count: 1})
//
//	curl -d '{"Kind": "Outage", "Route": "/objects"}' http://127.0.0.1:7000/fault
//
// A stand-in that does not speak HTTP asks Before for what to do with a request.
package fault
