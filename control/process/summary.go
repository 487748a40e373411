package process

import (
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// publishSummary publishes what the scheduler waits for. On an entry that is not the owner, all
// values are zero.
func (e *Entry) publishSummary(summary func() batch.Summary) error {
	for _, b := range []struct {
		name, help string
		of         func(*batch.Summary) batch.Backlog
	}{
		{"starts_unsent", "Starts that are not durable yet", func(s *batch.Summary) batch.Backlog { return s.Unsent }},
		{"starts_unanswered", "Starts that were sent and have neither an answer nor a report", func(s *batch.Summary) batch.Backlog { return s.Unanswered }},
		{"runs_unseen", "Runs of earlier owners that no report has listed", func(s *batch.Summary) batch.Backlog { return s.Unseen }},
		{"runs_stopping", "Runs that are to stop and whose end is not known", func(s *batch.Summary) batch.Backlog { return s.Stopping }},
		{"steps_waiting", "Steps with a task that was not placed", waitingSteps},
	} {
		count := func() float64 { s := summary(); return float64(b.of(&s).Count) }
		if err := e.metrics.GaugeFunc("owner_"+b.name, b.help+".", count); err != nil {
			return err
		}
		oldest := func() float64 { s := summary(); return b.of(&s).Oldest.Seconds() }
		if err := e.metrics.GaugeFunc("owner_"+b.name+"_oldest_seconds", b.help+": age of the oldest.", oldest); err != nil {
			return err
		}
	}
	for _, state := range batch.WorkerStates {
		count := func() float64 { return float64(summary().Workers[state]) }
		if err := e.metrics.GaugeFunc("owner_workers_"+string(state), "Workers in the state "+string(state)+".", count); err != nil {
			return err
		}
	}
	return nil
}

// publishEvacuations publishes how many zones are evacuated, as the owner knows them.
func (e *Entry) publishEvacuations(zones func() int) error {
	return e.metrics.GaugeFunc("zones_evacuated", "Zones that are evacuated, on the owner; zero on other entries.",
		func() float64 { return float64(zones()) })
}

// waitingSteps returns the waiting steps of all reasons together.
func waitingSteps(s *batch.Summary) batch.Backlog {
	var all batch.Backlog
	for _, b := range s.Waiting {
		all.Count += b.Count
		all.Oldest = max(all.Oldest, b.Oldest)
	}
	return all
}
