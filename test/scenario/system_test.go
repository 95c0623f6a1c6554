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
	// printed is the output of the commands since retry last made an attempt.
	printed bytes.Buffer
	// pending contains the background requests that were not awaited yet, counted the numbers of runs that cmdCount recorded.
	pending []*background
	counted map[string]int
	// rotation maps the name of an entry to whether the load balancer sends requests to it. The default is true.
	rotation sync.Map
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
