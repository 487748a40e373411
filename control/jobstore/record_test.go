package jobstore

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// drawRecord draws a record of a job whose tasks have run on workers with ids of up to 30 bytes.
func drawRecord(t *rapid.T) batch.Record {
	r := batch.Record{State: batch.JobRunning, Started: true}
	for i := range rapid.IntRange(1, batch.MaxTasks).Draw(t, "tasks") {
		r.Tasks = append(r.Tasks, batch.TaskRecord{
			Phase:       batch.TaskPhase(rapid.IntRange(0, 1).Draw(t, "phase")),
			Run:         i + 1,
			Worker:      ident.Worker(rapid.StringN(1, -1, 30).Draw(t, "worker")),
			Incarnation: batch.Incarnation{Upstream: "i-7f3a91c2", StartedMs: 1_700_000_000_000},
			Checkpoint:  strings.Repeat("c", rapid.IntRange(0, 2000).Draw(t, "checkpoint")),
		})
		if task := &r.Tasks[i]; task.Checkpoint != "" {
			task.CheckpointPercent = rapid.IntRange(0, 100).Draw(t, "percent")
		}
	}
	return r
}

// Guards against records that exceed a row, that lose more than checkpoints, or that lose those
// that no report brings back before the others.
func TestRecordsFitIntoRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, rows.DefaultRowBytes).Draw(t, "limit")
		record := drawRecord(t)
		full, err := Encode(record)
		if err != nil {
			t.Fatal(err)
		}
		raw, omitted, err := EncodeRecord(record, limit)
		if err != nil || len(full) <= limit && omitted > 0 {
			t.Fatalf("%d checkpoints of a record of %d bytes were left out: %v", omitted, len(full), err)
		}
		var before, after batch.Record
		if json.Unmarshal(full, &before) != nil || json.Unmarshal(raw, &after) != nil {
			t.Fatal("a record cannot be read")
		}
		left, lost, lostWaiting := 0, 0, false
		for i := range before.Tasks {
			b, a := before.Tasks[i], after.Tasks[i]
			if a.Checkpoint != "" {
				left++
			} else if b.Checkpoint != "" {
				lost++
				lostWaiting = lostWaiting || b.Phase == batch.TaskWaiting
			}
			if a.Checkpoint == "" {
				b.CheckpointPercent = 0
			}
			b.Checkpoint, a.Checkpoint = "", ""
			if a != b {
				t.Fatalf("task %d changed from %+v to %+v", i, b, a)
			}
		}
		if len(raw) > limit && left > 0 || lost != omitted {
			t.Fatalf("%d bytes for a limit of %d, %d checkpoints left, %d lost, %d said to be", len(raw), limit, left, lost, omitted)
		}
		for i := range after.Tasks {
			if lostWaiting && after.Tasks[i].Phase == batch.TaskActive && after.Tasks[i].Checkpoint != "" {
				t.Fatalf("the checkpoint of run %d is kept, that of a waiting task is not", i)
			}
		}
	})
}

// Guards against jobs that are accepted although their records may exceed a row.
func TestLargestRecordIsBounded(t *testing.T) {
	Convey("No record without checkpoints exceeds the bound", t, func() {
		for _, c := range []struct {
			steps       []batch.Step
			repetitions int
		}{
			{[]batch.Step{{Tasks: 1}}, 0},
			{[]batch.Step{{Tasks: batch.MaxTasks}}, 0},
			{[]batch.Step{{Tasks: 3, Gang: true}, {Tasks: 5}}, 20},
		} {
			j := &batch.Job{ID: "j1", Steps: c.steps, Repetitions: c.repetitions}
			worker, upstream := ident.Worker(strings.Repeat("w", 63)), ident.Upstream(`\u<&>`)
			record := batch.Record{State: batch.JobCompleted, EndedMs: 7_258_118_400_000, Started: true}
			for range max(c.repetitions, 1) {
				for _, s := range c.steps {
					for i := range s.Tasks {
						task := batch.TaskRecord{
							Phase: batch.TaskActive, Run: batch.MaxRun, Worker: worker, Failures: batch.MaxRun,
							Incarnation: batch.Incarnation{Upstream: upstream, StartedMs: 7_258_118_400_000},
						}
						if s.Gang && i == 0 {
							task.FailedRun = batch.MaxRun
						}
						record.Tasks = append(record.Tasks, task)
					}
				}
			}
			raw, err := Encode(record)
			So(err, ShouldBeNil)
			bound, err := MaxRecordBytes(j, worker, upstream)
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThanOrEqualTo, bound)
			So(len(raw), ShouldBeGreaterThan, bound*9/10-60)
		}
	})
	Convey("A job with as many tasks as are allowed fits into a usual row", t, func() {
		bound, err := MaxRecordBytes(&batch.Job{Steps: []batch.Step{{Tasks: batch.MaxTasks}}}, "worker-0123456789", "i-7f3a91c2-01234")
		So(err, ShouldBeNil)
		So(bound, ShouldBeLessThan, rows.DefaultRowBytes)
	})
	Convey("Only the workers of the service count", t, func() {
		r := NewReplica(func(string, error) {})
		for i, service := range []ident.Service{"a", "a", "b"} {
			id := ident.Worker(strings.Repeat("w", i+1))
			raw, err := Encode(Worker{Address: "10.0.0.1:7000", Info: batch.WorkerInfo{
				ID: id, Service: service, Incarnation: batch.Incarnation{Upstream: ident.Upstream(fmt.Sprint("u", 9-i))},
			}})
			So(err, ShouldBeNil)
			r.Apply([]rows.Row{{Key: WorkerKey(id), Version: rows.Version(i + 1), Value: raw}})
		}
		worker, upstream := r.LongestNames("a")
		So(worker, ShouldEqual, ident.Worker("ww"))
		So(upstream, ShouldHaveLength, 2)
		Convey("also those that come or leave later", func() {
			raw, err := Encode(Worker{Address: "10.0.0.1:7000", Info: batch.WorkerInfo{ID: "wwwww", Service: "a"}})
			So(err, ShouldBeNil)
			r.Apply([]rows.Row{{Key: WorkerKey("wwwww"), Version: 9, Value: raw}})
			worker, _ = r.LongestNames("a")
			So(worker, ShouldEqual, ident.Worker("wwwww"))
			r.Apply([]rows.Row{{Key: WorkerKey("wwwww"), Version: 10, Deleted: true}})
			worker, _ = r.LongestNames("a")
			So(worker, ShouldEqual, ident.Worker("ww"))
		})
	})
}
