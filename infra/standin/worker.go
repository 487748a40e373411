package standin

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
)

// usageLag is how old the newest usage sample is.
const usageLag = 30 * time.Second

// fullSpeed is the speed of a task that is not throttled, in percent.
const fullSpeed = 100

type worker struct {
	info   infra.WorkerInfo
	epochs map[ident.Partition]ident.Epoch
	tasks  map[infra.TaskRef]*task

	killed         bool
	failStarts     bool
	refusePrepares bool
	loseResponses  int
}

type task struct {
	partition ident.Partition
	info      infra.TaskInfo
	resources infra.Resources
	// timer expires the hold of a prepared task or the lease of a running one.
	timer *time.Timer
	// completion fires when the work is complete.
	completion *time.Timer
	// remaining is the work left at full speed as of speedSince.
	remaining    time.Duration
	checkpointed time.Duration
	runTime      time.Duration
	speed        int
	speedSince   time.Time
	run          *Run
}

func newWorker(info infra.WorkerInfo) *worker {
	return &worker{
		info:   info,
		epochs: make(map[ident.Partition]ident.Epoch),
		tasks:  make(map[infra.TaskRef]*task),
	}
}

// checkFence rejects a superseded epoch and records a newer one.
func (w *worker) checkFence(fence infra.Fence) error {
	if highest := w.epochs[fence.Partition]; fence.Epoch < highest {
		return errkind.New(errkind.StaleEpoch, "worker %s accepts epoch %d of partition %s, not %d",
			w.info.ID, highest, fence.Partition, fence.Epoch)
	}
	w.epochs[fence.Partition] = fence.Epoch
	return nil
}

func (w *worker) taskRefs() []infra.TaskRef {
	refs := make([]infra.TaskRef, 0, len(w.tasks))
	for ref := range w.tasks {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool { return refLess(refs[i], refs[j]) })
	return refs
}

func refLess(a, b infra.TaskRef) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Attempt != b.Attempt {
		return a.Attempt < b.Attempt
	}
	return a.Member < b.Member
}

func (w *worker) report(partition ident.Partition) infra.WorkerReport {
	report := infra.WorkerReport{Incarnation: w.info.Incarnation}
	for _, ref := range w.taskRefs() {
		if t := w.tasks[ref]; t.partition == partition {
			report.Tasks = append(report.Tasks, t.info)
		}
	}
	report.Digest = reportDigest(report)
	return report
}

// reportDigest returns a 64-bit hash of the report. A false match needs two
// different reports of one worker with the same hash.
func reportDigest(report infra.WorkerReport) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %v", report.Incarnation, report.Tasks)
	return strconv.FormatUint(hash.Sum64(), 36)
}

// holder returns the task that holds the accelerator, or nil.
func (w *worker) holder(accelerator int) *task {
	for _, t := range w.tasks {
		if !t.info.State.Ended() && slices.Contains(t.info.Accelerators, accelerator) {
			return t
		}
	}
	return nil
}

func (f *Fleet) prepare(w *worker, req infra.PrepareRequest) error {
	if err := w.checkFence(req.Fence); err != nil {
		return err
	}
	if t := w.tasks[req.Ref]; t != nil {
		if t.info.State != infra.TaskPrepared {
			return errkind.New(errkind.Conflict, "task %v is %s", req.Ref, t.info.State)
		}
		t.timer.Reset(req.Hold)
		return nil
	}
	if w.refusePrepares {
		return errkind.New(errkind.SlotsFull, "worker %s cannot hold the resources", w.info.ID)
	}
	for _, a := range req.Accelerators {
		if a < 0 || a >= w.info.Capacity.Accelerators {
			return errkind.New(errkind.InvalidArgument, "worker %s has no accelerator %d", w.info.ID, a)
		}
		if current := w.holder(a); current != nil {
			return errkind.New(errkind.SlotsFull, "accelerator %d of worker %s is held by job %s",
				a, w.info.ID, current.info.Ref.Job)
		}
	}
	t := &task{
		partition: req.Fence.Partition,
		resources: req.Resources,
		info: infra.TaskInfo{
			Ref:          req.Ref,
			State:        infra.TaskPrepared,
			Accelerators: slices.Clone(req.Accelerators),
		},
	}
	w.tasks[req.Ref] = t
	t.timer = f.expireAfter(w, t, req.Hold)
	return nil
}

// expireAfter returns a timer that ends the task when its hold or lease expires.
func (f *Fleet) expireAfter(w *worker, t *task, d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endTask(w, t, infra.TaskExpired, "lease expired")
	})
}

func (f *Fleet) start(w *worker, req infra.StartRequest) error {
	if err := w.checkFence(req.Fence); err != nil {
		return err
	}
	t := w.tasks[req.Ref]
	if t == nil {
		return errkind.New(errkind.NotFound, "task %v is not prepared on worker %s", req.Ref, w.info.ID)
	}
	if t.info.State == infra.TaskRunning {
		return nil
	}
	if t.info.State != infra.TaskPrepared {
		return errkind.New(errkind.Conflict, "task %v is %s", req.Ref, t.info.State)
	}
	t.timer.Stop()
	t.timer = f.expireAfter(w, t, req.Lease)
	t.info.State = infra.TaskRunning
	t.run = &Run{Ref: req.Ref, Worker: w.info.ID, Start: time.Now(), State: infra.TaskRunning}
	f.runs = append(f.runs, t.run)
	if w.failStarts || f.failing[req.Ref.Job] {
		f.endTask(w, t, infra.TaskFailed, "task exited with status 1")
		return nil
	}
	t.beginWork(f.actualRunTime(req), req.Checkpoint)
	f.scheduleCompletion(w, t)
	return nil
}

func (f *Fleet) actualRunTime(req infra.StartRequest) time.Duration {
	if d, ok := f.runTimes[req.Ref.Job]; ok {
		return d
	}
	return req.RunTime
}

// beginWork starts the work that the checkpoint doesn't cover.
func (t *task) beginWork(runTime time.Duration, checkpoint string) {
	t.runTime = runTime
	t.checkpointed = parseCheckpoint(checkpoint)
	t.remaining = max(0, runTime-t.checkpointed)
	t.speed = fullSpeed
	t.speedSince = time.Now()
	t.info.Checkpoint = checkpoint
}

func (f *Fleet) scheduleCompletion(w *worker, t *task) {
	if t.completion != nil {
		t.completion.Stop()
	}
	if t.speed == 0 {
		return
	}
	delay := t.remaining * fullSpeed / time.Duration(t.speed)
	t.completion = time.AfterFunc(delay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endTask(w, t, infra.TaskSucceeded, "")
	})
}

// updateRemaining subtracts the work done since speedSince from remaining.
func (t *task) updateRemaining() {
	now := time.Now()
	progress := now.Sub(t.speedSince) * time.Duration(t.speed) / fullSpeed
	t.remaining = max(0, t.remaining-progress)
	t.speedSince = now
}

func (f *Fleet) throttle(w *worker, fence infra.Fence, ref infra.TaskRef, percent int) error {
	if err := w.checkFence(fence); err != nil {
		return err
	}
	t := w.tasks[ref]
	if t == nil || t.run == nil || t.info.State.Ended() {
		return errkind.New(errkind.NotFound, "task %v does not run on worker %s", ref, w.info.ID)
	}
	t.updateRemaining()
	t.speed = percent
	t.info.State = infra.TaskThrottled
	if percent >= fullSpeed {
		t.info.State = infra.TaskRunning
	}
	f.scheduleCompletion(w, t)
	return nil
}

func (f *Fleet) renew(w *worker, req infra.RenewRequest) {
	refs := req.Refs
	if req.All {
		refs = w.taskRefs()
	}
	for _, ref := range refs {
		t := w.tasks[ref]
		if t == nil || t.run == nil || t.info.State.Ended() {
			continue
		}
		if t.partition != req.Fence.Partition {
			continue
		}
		t.timer.Reset(req.Lease)
	}
}

// checkpointPrefix starts the name of a checkpoint. It is followed by the run
// time in nanoseconds that the checkpoint covers.
const checkpointPrefix = "checkpoint-"

func (w *worker) checkpoint(fence infra.Fence, ref infra.TaskRef) (string, error) {
	if err := w.checkFence(fence); err != nil {
		return "", err
	}
	t := w.tasks[ref]
	if t == nil || t.run == nil || t.info.State.Ended() {
		return "", errkind.New(errkind.NotFound, "task %v does not run on worker %s", ref, w.info.ID)
	}
	t.updateRemaining()
	t.checkpointed = t.runTime - t.remaining
	t.info.Checkpoint = fmt.Sprintf("%s%d", checkpointPrefix, t.checkpointed)
	return t.info.Checkpoint, nil
}

func parseCheckpoint(name string) time.Duration {
	nanos, err := strconv.ParseInt(strings.TrimPrefix(name, checkpointPrefix), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(nanos)
}

// endTask releases the task's resources and records the state in which it ended.
func (f *Fleet) endTask(w *worker, t *task, state infra.TaskState, message string) {
	if t.info.State.Ended() {
		return
	}
	t.timer.Stop()
	if t.completion != nil {
		t.completion.Stop()
	}
	t.info.State = state
	t.info.Message = message
	if t.run != nil {
		t.run.End = time.Now()
		t.run.State = state
		return
	}
	// A task that never started is removed, so that reports don't list it.
	delete(w.tasks, t.info.Ref)
}

func (w *worker) usage(since time.Time) []infra.TaskUsage {
	sampledAt := time.Now().Add(-usageLag)
	if sampledAt.Before(since) {
		return nil
	}
	var samples []infra.TaskUsage
	for _, ref := range w.taskRefs() {
		t := w.tasks[ref]
		if t.run == nil || t.run.Start.After(sampledAt) || t.info.State.Ended() {
			continue
		}
		samples = append(samples, infra.TaskUsage{Ref: ref, At: sampledAt, Used: t.resources})
	}
	return samples
}
