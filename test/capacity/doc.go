// Package capacity measures what control costs. Its benchmarks start the real programs on loopback, each as a process of
// its own, with one stand-in each of the platform, the engine and the order service for all of them.
//
// # Usage
//
//	go test -run xxx -bench . -benchtime 1x -timeout 20m ./test/capacity
//
// Each benchmark prints raw figures for each size, then slope, intercept and the largest residual of a least-squares fit.
//
// # What is counted
//
// Processor time is user and system time of a process from /proc/PID/stat, in ticks of 10 ms, so that it does not depend
// on how busy the machine is as elapsed time does. It is summed over all processes of a role before it is divided.
// Memory is VmRSS. Bytes are rchar and wchar of /proc/PID/io: everything that passed a read or write call, which is the
// payload of sockets without headers of TCP and IP, and wake-ups of a few bytes between threads. What the process wrote to
// its log, a file here, is taken off.
//
// The shared engine tells every agent about the runs of all of them. Endpoints that a configuration lists beyond the
// running ones have loopback addresses at which nothing listens, and a model for which no request is sent.
//
// The package holds benchmarks only, and plain go test starts no process.
package capacity
