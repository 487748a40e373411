package jobstore

import (
	"cmp"
	"math"
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// EncodeRecord returns the encoded record of a job. If it has more than limit bytes, checkpoints
// are removed from record.Tasks, and their number is returned; such tasks start from the
// beginning after a change of the owner. The result exceeds the limit only if it has no
// checkpoint.
func EncodeRecord(record batch.Record, limit int) (raw []byte, omitted int, err error) {
	raw, err = Encode(record)
	if err != nil || len(raw) <= limit {
		return raw, 0, err
	}
	excess := len(raw) - limit
	for _, t := range leastNeededCheckpoints(record.Tasks) {
		if excess <= 0 {
			break
		}
		excess -= len(t.Checkpoint)
		t.Checkpoint, t.CheckpointPercent = "", 0
		omitted++
	}
	if omitted == 0 {
		return raw, 0, nil
	}
	raw, err = Encode(record)
	return raw, omitted, err
}

// leastNeededCheckpoints returns the tasks with a checkpoint in the order in which these are
// left out: first those of runs in progress, which their workers report again, and the longest
// first.
func leastNeededCheckpoints(tasks []batch.TaskRecord) []*batch.TaskRecord {
	var out []*batch.TaskRecord
	for i := range tasks {
		if tasks[i].Checkpoint != "" {
			out = append(out, &tasks[i])
		}
	}
	slices.SortStableFunc(out, func(a, b *batch.TaskRecord) int {
		return cmp.Or(compareActive(b, a), len(b.Checkpoint)-len(a.Checkpoint))
	})
	return out
}

func compareActive(a, b *batch.TaskRecord) int {
	active := func(t *batch.TaskRecord) int {
		if t.Phase == batch.TaskActive {
			return 1
		}
		return 0
	}
	return active(a) - active(b)
}

// MaxRecordBytes returns the size of a job's largest possible record without checkpoints, in
// bytes, on workers and upstream processes whose ids are not longer than the given ones.
func MaxRecordBytes(j *batch.Job, worker ident.Worker, upstream ident.Upstream) (int, error) {
	occurrences := max(j.Repetitions, 1)
	tasks, gangs := 0, 0
	for i := range j.Steps {
		tasks += j.Steps[i].Tasks * occurrences
		if j.Steps[i].Gang {
			gangs += occurrences
		}
	}
	member := batch.TaskRecord{
		Phase: batch.TaskActive, Run: batch.MaxRun, Worker: worker, Failures: batch.MaxRun,
		Incarnation: batch.Incarnation{Upstream: upstream, StartedMs: math.MaxInt64},
	}
	first := member
	first.FailedRun = batch.MaxRun
	sizes := make([]int, 3)
	for i, v := range []any{batch.Record{State: batch.JobCompleted, EndedMs: math.MaxInt64, Started: true, Tasks: []batch.TaskRecord{{}}}, member, first} {
		raw, err := Encode(v)
		if err != nil {
			return 0, err
		}
		sizes[i] = len(raw)
	}
	return sizes[0] + tasks*(sizes[1]+1) + gangs*(sizes[2]-sizes[1]), nil
}
