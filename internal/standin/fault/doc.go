// Package fault injects faults into the stand-ins for outside systems. A stand-in wraps its HTTP handler with a Hook.
// Tests set rules on the hook directly or, if the stand-in runs in a process of its own, over HTTP:
//
//	GET    /fault       200 with the JSON list of the active rules
//	POST   /fault       adds the Rule in the JSON body; 200 with {"ID": n}
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
// A stand-in without an HTTP handler calls Before for each request.
package fault
