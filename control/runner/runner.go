// Package runner implements the agent of a worker. It forwards the owner's
// orders to the upstream process on the same machine and reports the running and
// ended tasks to the owner. It keeps no state that must survive a restart.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/internal/boottime"
	"github.com/lacewingpier/lacewingpier/control/internal/panicguard"
	"github.com/lacewingpier/lacewingpier/control/jobstore"
	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// Options configures a runner.
type Options struct {
	ID ident.Worker
	// Address is where owners reach this agent.
	Address string
	Tasks   batchapi.Tasks
	Store   rows.Store
	Logger  *log.Logger
	// Count is called for each counted event.
	Count func(event string)
	// Clock includes the time in which the machine was suspended.
	Clock boottime.Clock
}

// Runner is the agent of one worker. It is safe for concurrent use.
type Runner struct {
	rpc.UnimplementedTaskRunnerServer
	opts Options

	mu sync.Mutex
	// announcement is the latest one of the current incarnation.
	announcement batchapi.Announcement
	// candidates holds the announcements of other incarnations, which have not responded yet.
	candidates map[batch.Incarnation]*candidate
	// draining reports that the current process has announced that it drains, and leaving that
	// it has deregistered since and has not announced itself again.
	draining, leaving bool
	// recordedDeparture is the incarnation whose departure is durable.
	recordedDeparture batch.Incarnation
	// sequence is the number of the latest announcement.
	sequence int64
	// coldUntil is until when the worker is cold, on the boot-time clock, as the announcement
	// said that was sent to the owner last. It is zero if it did not call the worker cold.
	coldUntil time.Duration
	// epoch is the newest epoch of an owner that has attached, and owner the entry that has it.
	epoch ident.Epoch
	owner string
	// lastFence is that of the latest stream.
	lastFence *fence
	// ownerSought reports that the worker's row was written for an owner to attach, although no
	// process is known.
	ownerSought bool
	// startedAt is when the agent started, on the boot-time clock of its machine.
	startedAt time.Duration
	// successorSeen reports that another process has announced itself under the id of the current
	// one since that was adopted, or any if there is none.
	successorSeen bool
	// session is the stream to the current owner, or nil.
	session *session
	// clock is the latest reading of the worker's clock.
	clock clockReading
	// failure is the latest failed call, until the process that it was for has responded to a
	// later one.
	failure callFailure
	// publishWakeup wakes Publish, verifyWakeup wakes Verify, leaveWakeup wakes WatchDepartures,
	// and recordedWakeup wakes FinishDeparture.
	publishWakeup, verifyWakeup, leaveWakeup, recordedWakeup chan struct{}
	// replacing is held while the current incarnation is compared with its successor.
	replacing sync.Mutex
	guard     panicguard.Guard
}

// New returns a runner without an announced upstream process.
func New(opts Options) *Runner {
	return &Runner{
		opts: opts, startedAt: opts.Clock(), publishWakeup: make(chan struct{}, 1), verifyWakeup: make(chan struct{}, 1),
		leaveWakeup: make(chan struct{}, 1), recordedWakeup: make(chan struct{}, 1),
		candidates: make(map[batch.Incarnation]*candidate),
		guard:      panicguard.Guard{Logger: opts.Logger, Count: opts.Count},
	}
}

// Announce records an announcement of the upstream process, unless a later one of the same
// incarnation is known. Another incarnation than the current one has to respond first: its
// announcement may be delayed, or come from another writer.
func (r *Runner) Announce(a batchapi.Announcement) {
	a.Info.ID = r.opts.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Incarnation != r.announcement.Incarnation {
		r.addCandidate(a)
		return
	}
	if a.Sequence <= r.sequence {
		r.opts.Count("announcement_stale")
		return
	}
	former := r.announcement.Info
	a.Info.Unreachable = former.Unreachable
	r.announcement, r.sequence = a, a.Sequence
	r.draining, r.leaving = a.Info.Draining, false
	r.noteContradiction(former)
	if cold := r.noteCold(); cold || a.Info.Draining != former.Draining || former.Left {
		r.publishAnnouncement()
	}
}

// adopt makes an incarnation that has responded the current one.
func (r *Runner) adopt(a batchapi.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Incarnation.StartedMs < r.announcement.Incarnation.StartedMs {
		r.opts.Count("announcement_clock_back")
	}
	r.noteReturn(a.Incarnation)
	r.successorSeen = false
	r.announcement, r.sequence = a, a.Sequence
	r.draining, r.leaving = a.Info.Draining, false
	r.noteCold()
	if r.session != nil {
		r.session.raiseFence() // Calls to the former process may be under way.
	}
	notify(r.publishWakeup)
	r.publishAnnouncement()
}

// publishAnnouncement logs the current announcement and sends it to the owner. The caller
// holds r.mu.
func (r *Runner) publishAnnouncement() {
	a := &r.announcement
	r.opts.Logger.Info().Str("upstream", string(a.Incarnation.Upstream)).Int64("born_ms", a.Incarnation.StartedMs).
		Str("machine", a.Info.Machine).Bool("draining", a.Info.Draining).Int64("cold_ms", a.Info.ColdForMs).Int64("sequence", a.Sequence).Msg("upstream announced")
	if r.session != nil {
		r.session.sendWorker(r.currentInfo())
	}
}

// noteRefusals records that an incarnation of the upstream process has refused connections
// several times in a row. It may run on.
func (r *Runner) noteRefusals(incarnation batch.Incarnation, refusals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if info := &r.announcement.Info; r.announcement.Incarnation == incarnation && !info.Unreachable {
		info.Unreachable = true
		r.publishUnreachable("upstream_unreachable", "upstream process is out of reach: its address refuses connections", refusals)
	}
}

const (
	// firstAnnouncementTime is how long an agent that has started takes to hear of the process
	// beside it, if there is one. Processes announce themselves every 1.5 s.
	firstAnnouncementTime = 4 * time.Second
	// resumeTime is how long an agent takes to handle what has arrived during a pause.
	resumeTime = 2 * time.Second
)

// sendRefusal tells the owner that an incarnation of the upstream process still refuses connections,
// or that no process has announced itself if the incarnation is empty, as of the latest renewal
// that its session had got before. It sends nothing, and returns false, while less is known than
// WorkerInfo.RefusedAfter says.
func (r *Runner) sendRefusal(s *session, incarnation batch.Incarnation, renewals int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	if r.session != s || r.announcement.Incarnation != incarnation || r.successorSeen || len(s.startSlots) > 0 || now-s.resumedAt < resumeTime {
		return false
	}
	info := r.currentInfo()
	if incarnation == (batch.Incarnation{}) {
		info = batch.WorkerInfo{ID: r.opts.ID, Unreachable: now-r.startedAt >= firstAnnouncementTime}
	}
	if !info.Unreachable {
		return false
	}
	info.RefusedAfter = renewals
	s.sendWorker(info)
	return true
}

// publishUnreachable counts and logs why the current process is out of reach, and tells the owner.
// The caller holds r.mu.
func (r *Runner) publishUnreachable(event, message string, refusals int) {
	info := &r.announcement.Info
	r.opts.Count(event)
	r.opts.Logger.Warn().Str("upstream", string(info.Incarnation.Upstream)).Int64("born_ms", info.Incarnation.StartedMs).
		Int("refusals", refusals).Msg(message)
	if r.session != nil {
		r.session.sendWorker(r.currentInfo())
	}
}

// markReachable records that an incarnation of the upstream process has sent a report.
func (r *Runner) markReachable(incarnation batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info := &r.announcement.Info
	if r.announcement.Incarnation != incarnation || !info.Unreachable && !info.Left {
		return
	}
	r.noteContradiction(*info)
	info.Unreachable, info.Left, r.leaving = false, false, false
	r.opts.Logger.Info().Str("upstream", string(incarnation.Upstream)).Msg("upstream process is within reach again")
	if r.session != nil {
		r.session.sendWorker(r.currentInfo())
	}
}

// notify signals a channel with a buffer of one without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publishRetryDelay is the delay between two attempts to write the worker's row.
const publishRetryDelay = 500 * time.Millisecond

// Publish writes the worker's row, by which owners find this agent, whenever a new incarnation
// of the upstream process is adopted, waits for an owner, or has left. It returns when ctx ends.
func (r *Runner) Publish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.publishWakeup:
		}
		if err := r.writeRow(ctx); err != nil {
			r.opts.Logger.Warn().Err(err).Msg("worker row not written; retrying")
			r.opts.Count("publish_failed")
			notify(r.publishWakeup)
			select {
			case <-ctx.Done():
			case <-time.After(publishRetryDelay):
			}
		}
	}
}

func (r *Runner) writeRow(ctx context.Context) error {
	r.mu.Lock()
	row := jobstore.Worker{Address: r.opts.Address, Info: r.announcement.Info}
	r.mu.Unlock()
	row.Info.ID, row.Info.Unreachable, row.Info.ColdForMs = r.opts.ID, false, 0
	value, err := jobstore.Encode(row)
	if err != nil {
		return err
	}
	_, err = r.opts.Store.Commit(ctx, rows.Txn{Put: []rows.Put{{Key: jobstore.WorkerKey(r.opts.ID), Value: value}}})
	if err != nil {
		return err
	}
	r.noteRecorded(row.Info)
	return nil
}

// Attach serves the stream of one owner until it ends or a newer owner attaches.
func (r *Runner) Attach(stream grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return errkind.New(errkind.InvalidArgument, "the first message of the stream is not a hello")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	s := &session{
		runner: r, fence: fence{epoch: ident.Epoch(hello.GetEpoch()), stream: hello.GetStream()}, owner: hello.GetOwner(), cancel: cancel,
		outbound: make(chan *rpc.FromRunner, outboundQueueLimit), wakeup: make(chan struct{}, 1),
		startSlots: make(chan struct{}, maxConcurrentStarts),
	}
	if err := r.attachSession(s); err != nil {
		return err
	}
	defer r.detachSession(s)
	r.opts.Logger.Info().Uint64("epoch", hello.GetEpoch()).Str("owner", hello.GetOwner()).Msg("owner attached")
	return s.serve(ctx, stream)
}

// attachSession replaces the current session. It refuses an owner with an older epoch, a second
// owner with the same one, and an older stream of the owner.
func (r *Runner) attachSession(s *session) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	epoch := s.fence.epoch
	if epoch < r.epoch {
		return errkind.New(errkind.StaleEpoch, "epoch %d is older than the current epoch %d", epoch, r.epoch)
	}
	if epoch == r.epoch && r.lastFence != nil && s.fence.stream < r.lastFence.stream {
		return errkind.New(errkind.StaleEpoch, "stream %d is older than the current stream %d", s.fence.stream, r.lastFence.stream)
	}
	if epoch == r.epoch && r.owner != "" && s.owner != r.owner {
		r.opts.Count("owner_conflict")
		r.opts.Logger.Error().Uint64("epoch", uint64(epoch)).Str("owner", s.owner).Str("current", r.owner).
			Msg("second owner with the same epoch is refused")
		return errkind.New(errkind.StaleEpoch, "epoch %d belongs to %s", epoch, r.owner)
	}
	if epoch == r.epoch && r.lastFence != nil {
		s.fence.follow(r.lastFence)
	}
	if r.session != nil {
		r.session.cancel()
	}
	r.epoch, r.owner, r.session, r.lastFence = epoch, s.owner, s, &s.fence
	if r.announcement.Incarnation != (batch.Incarnation{}) {
		s.sendWorker(r.currentInfo())
	}
	return nil
}

func (r *Runner) detachSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == s {
		r.session = nil
	}
	r.opts.Logger.Info().Uint64("epoch", uint64(s.fence.epoch)).Msg("owner detached")
}

// clockReading is a reading of the worker's clock.
type clockReading struct {
	incarnation batch.Incarnation
	ms          int64
	// at is when the reading arrived, on the boot-time clock of this machine.
	at time.Duration
}

// noteWorkerClock records the worker's clock in a report of the current incarnation.
func (r *Runner) noteWorkerClock(report batch.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := report.Incarnation == r.clock.incarnation && report.ClockMs < r.clock.ms
	if report.Incarnation == r.announcement.Incarnation && !late {
		r.clock = clockReading{report.Incarnation, report.ClockMs, r.opts.Clock()}
	}
}

// workerClock estimates the clock of an incarnation of the worker. It returns false without a
// reading.
func (r *Runner) workerClock(incarnation batch.Incarnation) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.incarnation != incarnation {
		return 0, false
	}
	return r.clock.ms + (r.opts.Clock() - r.clock.at).Milliseconds(), true
}

// clockWentBack reports whether a response to a call that was sent at a time of the boot-time
// clock states an earlier time than the incarnation could: another process made it.
func (r *Runner) clockWentBack(incarnation batch.Incarnation, sentAt time.Duration, clockMs int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.incarnation != incarnation || clockMs <= 0 {
		return false
	}
	earliest := r.clock.ms + batch.MinClockAdvance(sentAt-r.clock.at).Milliseconds()
	return clockMs < earliest-clockResolutionMs
}

// clockResolutionMs bounds the rounding of two readings in whole milliseconds.
const clockResolutionMs = 2

// callFailure is a call to an incarnation that has failed, or that another process has answered.
type callFailure struct {
	incarnation batch.Incarnation
	// at is when it failed, on the boot-time clock of this machine.
	at time.Duration
}

// noteCallFailed records that an incarnation may not run any more: another process may respond
// at its address under the same id.
func (r *Runner) noteCallFailed(incarnation batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = callFailure{incarnation, r.opts.Clock()}
}

// noteResponse records that an incarnation has responded to a call that was sent at the given
// time of the boot-time clock.
func (r *Runner) noteResponse(incarnation batch.Incarnation, sentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure.incarnation == incarnation && sentAt >= r.failure.at {
		r.failure = callFailure{}
	}
}

// hasResponded reports whether an incarnation has responded since the latest failed call to it.
func (r *Runner) hasResponded(incarnation batch.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure.incarnation != incarnation
}

// passOnEnds sends a report that was asked for something else to the owner if it lists ends: the
// process may leave before another call lists them again.
func (r *Runner) passOnEnds(report batch.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(report.Ended) > 0 && r.session != nil {
		r.session.send(rpc.ReportMessage(report))
	}
}

// markReplaced records that another process than an incarnation of the upstream process responds
// at its address. Its announcement follows.
func (r *Runner) markReplaced(incarnation batch.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if info := &r.announcement.Info; r.announcement.Incarnation == incarnation && !info.Unreachable {
		info.Unreachable = true
		r.publishUnreachable("upstream_replaced", "upstream process is out of reach: another process responds at its address", 0)
	}
}

func (r *Runner) currentAnnouncement() batchapi.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announcement
}
