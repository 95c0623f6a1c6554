// Package event numbers the log events of every process. Each log line carries its event, so that operators can
// search for it and alert on it without matching text. docs/events.md is the catalogue; a test compares it with this
// package.
//
// # Usage
//
//	event.Info(log, event.RequestRouted, "endpoint", name, "reason", reason, "candidates", candidates)
package event
