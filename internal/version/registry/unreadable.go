package registry

import (
	"github.com/go-logr/logr"

	"primrosecourse/internal/event"
)

// unreadable are the names of the objects of one kind that cannot be decoded and for which this was logged. Each is logged once until it can
// be decoded again or is removed.
type unreadable map[string]bool

// observe records that an object was decoded, or that this failed with err, which is logged.
func (u unreadable) observe(log logr.Logger, kind, name string, revision uint64, err error) {
	switch {
	case err == nil:
		delete(u, name)
	case !u[name]:
		u[name] = true
		event.Info(log, event.ObjectUnreadable, "kind", kind, "name", event.Shorten(name), "revision", revision, "reason", event.Shorten(err.Error()))
	}
}
