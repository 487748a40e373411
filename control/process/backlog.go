package process

import (
	"fmt"
	"time"

	"github.com/lacewingpier/lacewingpier/sched/admission"
)

// publishBacklog publishes the backlog by which this entry refuses jobs, as it knows it. Without
// figures, or with ones that are too old, all values are zero.
func (e *Entry) publishBacklog(current func(now time.Time) (*admission.Backlog, time.Duration)) error {
	for priority := range admission.Priorities {
		ahead := func() float64 {
			backlog, age := current(time.Now())
			if age > admission.MaxAge {
				return 0
			}
			return backlog.LongestAhead(priority).Seconds()
		}
		name, help := fmt.Sprintf("backlog_priority_%d_seconds", priority), "Work ahead of a new job of priority %d, in seconds of the whole capacity, of the service and label with most of it."
		if err := e.metrics.GaugeFunc(name, fmt.Sprintf(help, priority), ahead); err != nil {
			return err
		}
	}
	return nil
}
