package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Reassess checks a worker after a change of its health that the scheduler has
// not caused, such as an operator's quarantine. It reports whether it knows the
// worker.
func (s *Scheduler) Reassess(now time.Time, id ident.Worker) bool {
	s.now = now
	if _, ok := s.byID[id]; !ok {
		return false
	}
	s.addCordonCandidate(id)
	return true
}
