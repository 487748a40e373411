package executor

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// JobState is the stored state of a job.
type JobState string

// The states of a job row.
const (
	// JobQueued waits for its next start.
	JobQueued JobState = "queued"
	// JobRunning has a committed placement.
	JobRunning JobState = "running"
	// JobSucceeded has ended without an error.
	JobSucceeded JobState = "succeeded"
	// JobFailed has failed on several healthy workers.
	JobFailed JobState = "failed"
	// JobCanceled was canceled and no longer runs.
	JobCanceled JobState = "canceled"
)

// Final reports whether the job will never run again.
func (s JobState) Final() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCanceled
}

// JobRow is the content of a job's row. Each job has one row, whatever the number
// of its tasks.
type JobRow struct {
	Spec  model.Job `json:"spec"`
	State JobState  `json:"state"`
	// Attempt is the number of the latest start attempt, counted from 1.
	Attempt int         `json:"attempt"`
	Epoch   ident.Epoch `json:"epoch"`
	// Members is the placement of a running job.
	Members []model.Member `json:"members,omitempty"`
	// Checkpoints names the checkpoint that each member resumes from.
	Checkpoints []string `json:"checkpoints,omitempty"`
	// Saved is the run time that the checkpoints cover.
	Saved time.Duration `json:"saved_ns,omitempty"`
	// CancelRequested is set from the moment a cancellation is accepted.
	CancelRequested bool   `json:"cancel_requested,omitempty"`
	Reason          string `json:"reason,omitempty"`
}

func (r JobRow) clone() JobRow {
	r.Members = slices.Clone(r.Members)
	r.Checkpoints = slices.Clone(r.Checkpoints)
	return r
}

// JobPrefix is the key prefix of the job rows of a partition.
func JobPrefix(partition ident.Partition) string { return "job/" + string(partition) + "/" }

// JobKey returns the key of a job's row.
func JobKey(partition ident.Partition, id ident.Job) string {
	return JobPrefix(partition) + string(id)
}

// Rows larger than compressAboveBytes are compressed, so that a gang of 64 members
// stays below the platform's row limit of 4 KiB. A compressed value starts with
// the byte compressedPrefix; zero is a byte that no JSON text starts with.
const (
	compressAboveBytes = 1024
	compressedPrefix   = 0
)

// EncodeJob returns the value of a job row.
func EncodeJob(row JobRow) ([]byte, error) {
	raw, err := json.Marshal(row)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "encode job")
	}
	if len(raw) <= compressAboveBytes {
		return raw, nil
	}
	var out bytes.Buffer
	out.WriteByte(compressedPrefix)
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress job")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress job")
	}
	if err := w.Close(); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "compress job")
	}
	return out.Bytes(), nil
}

// DecodeJob reads the value of a job row.
func DecodeJob(value []byte) (JobRow, error) {
	var row JobRow
	if len(value) > 0 && value[0] == compressedPrefix {
		raw, err := io.ReadAll(flate.NewReader(bytes.NewReader(value[1:])))
		if err != nil {
			return row, errkind.Wrap(errkind.Corrupt, err, "decompress job")
		}
		value = raw
	}
	if err := json.Unmarshal(value, &row); err != nil {
		return row, errkind.Wrap(errkind.Corrupt, err, "decode job")
	}
	return row, nil
}

// phase is the step of a job's life cycle that the executor is in.
type phase uint8

const (
	// phaseRecording waits for the first write of the row.
	phaseRecording phase = iota
	// phaseQueued waits for the scheduler to start the job.
	phaseQueued
	// phaseStarting prepares, commits and starts the members.
	phaseStarting
	// phaseRunning renews the leases of the members.
	phaseRunning
	// phaseStopping waits until every member is known to have stopped.
	phaseStopping
	// phaseFinishing writes the end of an attempt.
	phaseFinishing
	// phaseDone is the phase of a job that will never run again.
	phaseDone
)

// job is the executor's state of one job. Only the loop accesses it.
type job struct {
	row     JobRow
	version infra.RowVersion
	// compacted is set when the row of an ended job has been deleted.
	compacted bool
	phase     phase
	// phaseChangedAt is when the phase last changed. Worker reports requested
	// before that time say nothing about the current phase.
	phaseChangedAt time.Time
	// runningSince is when the gang began to run, as far as this owner knows.
	runningSince time.Time
	// schedulerAttempt is the scheduler's number of the current attempt.
	schedulerAttempt int
	// inScheduler is set while the scheduler has the job.
	inScheduler bool
	members     []*member
	stop        stopRequest
	// writing is set while a write of the row is in progress; afterWrite holds
	// the functions to run, in order, once it has ended.
	writing    bool
	afterWrite []func()
	// waitReason is the scheduler's last report on a waiting job.
	waitReason model.Reason
}

// stopRequest is the reason and the progress of the stop of a gang.
type stopRequest struct {
	outcome  model.Outcome
	failedOn ident.Worker
	// retryAt is when the stop is repeated for members that have not confirmed.
	retryAt time.Time
	// checkpoints names the checkpoints taken for this stop, or is nil.
	checkpoints         []string
	checkpointedRunTime time.Duration
}

// member is one task of the current attempt.
type member struct {
	job    *job
	ref    infra.TaskRef
	worker *worker
	// info is a copy of the worker's info, for calls outside the loop.
	info      infra.WorkerInfo
	placement model.Member
	// leaseExtendedAt is when the last call returned that may have started the
	// task or renewed its lease.
	leaseExtendedAt time.Time
	// released is set when the task is known to have ended and to hold no
	// resources.
	released  bool
	succeeded bool
}

func (j *job) setPhase(p phase, now time.Time) {
	j.phase = p
	j.phaseChangedAt = now
}

func (j *job) allReleased() bool {
	for _, m := range j.members {
		if !m.released {
			return false
		}
	}
	return true
}

func (j *job) allSucceeded() bool {
	for _, m := range j.members {
		if !m.succeeded {
			return false
		}
	}
	return true
}
