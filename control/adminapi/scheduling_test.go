package adminapi

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// fakeScheduling has a rack with two workers in each of the partitions p1 and p2.
// Partition p2 has no owner when p2Ownerless is set.
type fakeScheduling struct {
	submitted   model.Job
	key         string
	p2Ownerless bool
}

func runningStatus(j model.Job) *rpc.JobStatus {
	return &rpc.JobStatus{Spec: partition.SpecToRPC(j), Partition: "p1", State: "running", Attempt: 2,
		Placements: []*rpc.Placement{{Member: 1, Worker: "w1", Accelerators: []int32{0, 3}}}}
}

func (f *fakeScheduling) Submit(_ context.Context, job model.Job, key string) (*rpc.JobStatus, error) {
	f.submitted, f.key = job, key
	job.ID = "p1.77"
	return runningStatus(job), nil
}
func (f *fakeScheduling) Cancel(_ context.Context, id ident.Job) (*rpc.JobStatus, error) {
	return runningStatus(model.Job{ID: id}), nil
}
func (f *fakeScheduling) Explain(_ context.Context, id ident.Job) (*rpc.JobExplanation, error) {
	return &rpc.JobExplanation{Status: runningStatus(model.Job{ID: id, Workspace: "alpha"}), Reason: "wait_share", WaitsFor: []string{"p1.2"}}, nil
}
func (f *fakeScheduling) List(context.Context, ident.Workspace) ([]*rpc.JobStatus, error) {
	return []*rpc.JobStatus{runningStatus(model.Job{ID: "p1.1"})}, errkind.New(errkind.Unreachable, "partitions without an answer: p2")
}
func (f *fakeScheduling) View(_ context.Context, id ident.Partition) (*rpc.PartitionView, error) {
	if f.p2Ownerless && id == "p2" {
		return nil, errkind.New(errkind.NotReady, "partition p2 has no owner")
	}
	v := &rpc.PartitionView{Partition: string(id), Owner: "e1", Epoch: 5, Queued: 3}
	if id == "p1" {
		v.Shapes = []*rpc.ShapeStatus{{Workspace: "alpha", Shape: "big", Guaranteed: 1, Held: 1}}
	}
	for _, name := range []string{"w1", "w2"} {
		capacity := &rpc.Resources{Accelerators: 8, Cores: 64, MemoryMb: 131072}
		v.Workers = append(v.Workers, &rpc.WorkerStatus{Worker: string(id) + name, Rack: string(id) + "r", State: "ready", Capacity: capacity, Free: capacity})
	}
	return v, nil
}
func (f *fakeScheduling) Partitions() []partition.Spec {
	return []partition.Spec{{ID: "p1"}, {ID: "p2"}}
}

// Guards against three faults: the conversion loses a field of a job; the limits
// accept a guarantee that exceeds the capacity, or a reduction of a guarantee that
// is in use; or the failure of a partition that has no owner hides the other
// partitions.
func TestJobsBackend(t *testing.T) {
	Convey("Given two partitions of two workers", t, func() {
		f := &fakeScheduling{}
		b := Jobs{Scheduling: f}
		spec := JobSpec{Key: "k", Workspace: "alpha", Caller: "c", Service: "s", Tasks: 2, PerTask: Resources{8, 4, 1024}, Locality: "rack", Urgent: true, Shape: "big", RunTimeMS: 1500, Checkpointable: true}
		job, err := b.SubmitJob(t.Context(), Actor{}, spec)
		So(err, ShouldBeNil)
		So([]any{f.key, job.ID, job.State, job.Attempt}, ShouldResemble, []any{"k", ident.Job("p1.77"), "running", 2})
		So(job.Placements, ShouldResemble, []Placement{{1, "w1", []int{0, 3}}})
		spec.Key = ""
		So(job.JobSpec, ShouldResemble, spec)
		e, err := b.ExplainJob(t.Context(), "p1.9")
		So(err, ShouldBeNil)
		So([]any{e.Job.ID, e.Job.Workspace, e.Reason, e.WaitsFor[0]}, ShouldResemble, []any{ident.Job("p1.9"), ident.Workspace("alpha"), "wait_share", "p1.2"})
		jobs, err := b.Jobs(t.Context(), "")
		So(len(jobs), ShouldEqual, 1)
		incomplete, err := splitPartialError(len(jobs), err)
		So(err, ShouldBeNil)
		So(incomplete, ShouldContainSubstring, "p2")

		limits, err := b.Limits(t.Context())
		So(err, ShouldBeNil)
		sheetPrefix := sheetHeader + "workspace,alpha,,,,,,1,1,,,\n"
		placed, err := sheet.Check([]byte(sheetPrefix+"shape,alpha,big,1,2,8,rack,,,,,\nshape,alpha,small,2,1,8,worker,,,,,\n"), nil, limits)
		So(err, ShouldBeNil)
		So(placed.Partitions(), ShouldResemble, []ident.Partition{"p1", "p2"})
		_, err = sheet.Check([]byte(sheetPrefix+"shape,alpha,big,3,2,8,rack,,,,,\nshape,alpha,small,2,1,8,worker,,,,,\n"), placed, limits)
		So(errkind.Is(err, errkind.DoesNotFit), ShouldBeTrue)
		So(len(sheet.ProblemsOf(err)), ShouldEqual, 1)
		_, err = sheet.Check([]byte(sheetPrefix), placed, limits)
		So(errkind.Is(err, errkind.Conflict), ShouldBeTrue)

		f.p2Ownerless = true
		_, err = b.Limits(t.Context())
		So(errkind.Is(err, errkind.NotReady), ShouldBeTrue)
		workers, err := b.Workers(t.Context())
		So(len(workers), ShouldEqual, 2)
		So(err, ShouldNotBeNil)
		partitions, err := b.Partitions(t.Context())
		So(err, ShouldBeNil)
		So([]any{partitions[0].Owner, partitions[0].Epoch, partitions[0].Workers, partitions[1].Owner}, ShouldResemble, []any{ident.Entry("e1"), ident.Epoch(5), 2, ident.Entry("")})
	})
}
