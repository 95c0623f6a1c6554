package forward

import (
	"time"

	"primrosecourse/internal/connection/kvstore"
	"primrosecourse/pkg/placement"
	"primrosecourse/pkg/tiering"
)

// saveMargin covers the time from the choice of an endpoint until the request arrives there, which works on it until its deadline.
const saveMargin = time.Second

// requestedSaves are the saves of parts that an endpoint was instructed to make with one attempt.
type requestedSaves struct {
	scope *kvstore.Scoped
	list  []*tiering.Save
}

// request records a save, which the endpoint does not begin after until. It returns the store, or nil if the save must not be requested.
func (s *requestedSaves) request(store *tiering.Store, p tiering.Part, now, until time.Time) *tiering.Store {
	save := s.scope.RequestSave(store.Name, p, now, until)
	if save == nil {
		return nil
	}
	s.list = append(s.list, save)
	return store
}

// begun records that the endpoint has read the prompt, and so has begun the saves.
func (s *requestedSaves) begun(now time.Time) {
	for _, save := range s.list {
		s.scope.SaveBegun(save, now)
	}
	s.list = nil
}

// recordOutcome records the end of the attempt. An endpoint that has not answered drops the request, since its connection closes.
func (s *requestedSaves) recordOutcome(now time.Time, o placement.Outcome) {
	switch o {
	case placement.Answered, placement.Failed:
		s.begun(now)
		return
	}
	for _, save := range s.list {
		s.scope.CancelSave(save)
	}
	s.list = nil
}
