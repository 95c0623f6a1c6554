// Package event defines the log events of all processes. Each log line contains the name and number of its event, so
// that operators can search for it and alert on it without matching other text. docs/events.md is the catalogue of the
// events; a test compares it with this package.
//
// # Usage
//
//	event.Info(log, event.RequestRouted, "endpoint", name, "reason", reason, "candidates", candidates)
package event
