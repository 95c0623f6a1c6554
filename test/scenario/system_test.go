package scenario

import (
	"bytes"
	"sync"

	"primrosecourse/test/site"
)

// system is a site with the state that the commands of a script share.
type system struct {
	*site.Site
	traffic *traffic
	// printed is the output of the commands since the latest attempt of retry began.
	printed bytes.Buffer
	// pending contains the background requests that have not been awaited yet, counted the numbers of runs that cmdCount
	// recorded.
	pending []*background
	counted map[string]int
	// inRotation maps the name of a process to whether the load balancer sends requests to it; a missing name means true.
	inRotation sync.Map
}

func newSystem(dir string) *system {
	return &system{Site: site.New(dir, binaries), counted: map[string]int{}}
}

// down stops the traffic and kills all processes.
func (s *system) down() {
	if s.traffic != nil {
		s.traffic.end()
	}
	s.Down()
}
