package gangsched

import (
	"time"

	"github.com/lacewingpier/lacewingpier/core/ident"
)

// Reassess follows a change of a worker's health that the scheduler has not
// caused, such as an operator's quarantine. It reports whether it knows the
// worker.
func (s *Scheduler) Reassess(now time.Time, id ident.Worker) bool {
	s.now = now
	if _, ok := s.byID[id]; !ok {
		return false
	}
	s.suspect(id)
	return true
}
