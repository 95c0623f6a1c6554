// Package capacity measures the processor time, memory and bytes that entries and agents use. Its benchmarks start the real
// programs on loopback, each as its own process. All entries and agents share one stand-in for the platform, all model agents
// one for the engine, and all service agents one for the order service.
//
// # Usage
//
//	go test -run xxx -bench . -benchtime 1x -timeout 20m ./test/capacity
//
// Each benchmark prints the figures for each size or request rate, and then the slope, the intercept and the largest residual
// of least-squares fits.
//
// # What is measured
//
// Processor time is the user and system time of a process from /proc/PID/stat, in ticks of 10 ms. Unlike elapsed time, it
// does not depend on how busy the machine is. Figures are means over the processes of a role. Memory is VmRSS. Bytes are
// rchar and wchar of /proc/PID/io: everything that passed a read or write call, which is the payload of sockets without TCP
// and IP headers, and wake-ups of a few bytes between threads. The bytes that the process wrote to its log file are
// subtracted.
//
// The shared engine reports the runs of all agents to every agent. Endpoints that the configuration lists beyond the running
// ones have loopback addresses on which nothing listens, and a model for which no request is sent.
//
// The package contains benchmarks only; go test without -bench starts no process.
package capacity
