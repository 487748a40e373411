package runner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/sched/batch"
	"github.com/lacewingpier/lacewingpier/sched/batchapi"
)

// outboundQueueLimit bounds the messages that are queued for the owner. Reports and answers wait
// for room. A stream whose queue stays full is closed.
const outboundQueueLimit = 256

// outboundTimeout is how long a message waits for room in the queue.
const outboundTimeout = 2 * time.Second

// maxConcurrentStarts bounds the calls that order a start at the same time, each of which may
// need a connection. Further starts wait until they expire. Stops do not wait for them.
const maxConcurrentStarts = 64

// session is the stream to one owner.
type session struct {
	runner   *Runner
	fence    fence
	owner    string
	cancel   context.CancelFunc
	outbound chan *rpc.FromRunner
	// wakeup wakes renewLoop when the renewal or the announced upstream process has
	// changed, or an order was answered.
	wakeup chan struct{}
	// startSlots holds a value for each start that is being ordered.
	startSlots chan struct{}
	// stops holds the stops that wait or are being ordered.
	stops stopQueue

	mu sync.Mutex
	// renewal is the latest lease renewal that the owner has sent, and renewals counts them, also
	// those that renew nothing.
	renewal  batch.LeaseRenewal
	renewals int
	// refusalSentAt is when the owner was last told that the process refuses connections, after
	// refusalRenewals renewals.
	refusalSentAt   time.Time
	refusalRenewals int
	// refusedAt is when the process was last found to refuse connections, or not to exist, or zero
	// once it has responded. resumedAt is when the session began, or when a pause of this process was
	// noticed later. Both are on the boot-time clock of this machine.
	refusedAt, resumedAt time.Duration
}

// send queues a message for the owner, or closes the stream if the queue is full.
func (s *session) send(m *rpc.FromRunner) {
	select {
	case s.outbound <- m:
	default:
		s.overrun()
	}
}

// sendWhenFree queues a message for the owner as soon as there is room, unless ctx ends. It closes
// the stream if there is none within outboundTimeout.
func (s *session) sendWhenFree(ctx context.Context, m *rpc.FromRunner) {
	select {
	case s.outbound <- m:
		return
	default:
	}
	timer := time.NewTimer(outboundTimeout)
	defer timer.Stop()
	select {
	case s.outbound <- m:
	case <-ctx.Done():
	case <-timer.C:
		s.overrun()
	}
}

// overrun closes a stream that takes no more messages. The owner attaches again.
func (s *session) overrun() {
	s.runner.opts.Count("session_overrun")
	s.runner.opts.Logger.Warn().Uint64("epoch", uint64(s.fence.epoch)).Msg("stream to the owner is closed: too many messages wait for it")
	s.cancel()
}

func (s *session) sendWorker(info batch.WorkerInfo) {
	raw, err := json.Marshal(info)
	if err != nil {
		s.runner.opts.Logger.Error().Err(err).Msg("worker info could not be encoded")
		return
	}
	s.send(&rpc.FromRunner{Kind: &rpc.FromRunner_Worker{Worker: &rpc.WorkerInfo{Info: raw}}})
	notify(s.wakeup)
}

// serve runs until the stream ends or the session of a newer owner replaces it.
func (s *session) serve(ctx context.Context, stream grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner]) error {
	var group conc.WaitGroup
	defer group.Wait()
	defer s.cancel()
	group.Go(func() {
		if s.runner.guard.Run("lease renewals", func() { s.renewLoop(ctx) }) != nil {
			s.cancel() // the owner attaches again
		}
	})
	in := make(chan *rpc.FromOwner)
	// Recv returns only after serve has returned, so serve does not wait for it.
	go s.receive(ctx, stream, in)
	for {
		select {
		case m := <-s.outbound:
			if err := stream.Send(m); err != nil {
				return err
			}
		case m := <-in:
			s.handle(ctx, m, &group)
		case <-ctx.Done():
			return errkind.New(errkind.StaleEpoch, "the stream was replaced or has ended")
		}
	}
}

func (s *session) receive(ctx context.Context, stream grpc.BidiStreamingServer[rpc.FromOwner, rpc.FromRunner], in chan<- *rpc.FromOwner) {
	defer s.cancel()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case in <- m:
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) handle(ctx context.Context, m *rpc.FromOwner, group *conc.WaitGroup) {
	switch {
	case m.GetHold() != nil:
		s.mu.Lock()
		if renewal := rpc.RenewalOf(m.GetHold()); renewal.Incarnation != (batch.Incarnation{}) {
			s.renewal = renewal // The others only mark a point in the stream.
		}
		s.renewals++
		s.mu.Unlock()
		notify(s.wakeup)
	case m.GetOrder() != nil:
		order := m.GetOrder()
		group.Go(func() { s.forwardOrder(ctx, order) })
	}
}

const (
	// renewWait is the period of the reports by which the owner sees that the stream is alive.
	renewWait = 1500 * time.Millisecond
	// pollWait is how long the upstream process holds a call open while no task ends (long
	// poll). A call whose answer is lost hides an end for that long, and a run that stands
	// still is noticed after two of them. The process is on the same machine.
	pollWait = 500 * time.Millisecond
	// renewTimeoutMargin is added to the wait to get the timeout of a renewal.
	// It is short because the process is on the same machine.
	renewTimeoutMargin = 400 * time.Millisecond
	// maxRenewTimeoutMargin bounds the margin, which doubles with each call that times out: a
	// busy process would otherwise never answer in time, and its lease, which a call after a
	// failure does not carry, would expire.
	maxRenewTimeoutMargin = 1200 * time.Millisecond
	// renewRetryDelay is the delay after a failed renewal.
	renewRetryDelay = 100 * time.Millisecond
	// refusalsUntilUnreachable is the number of consecutive refused connections,
	// renewRetryDelay apart, after which the process counts as out of reach.
	refusalsUntilUnreachable = 3
	// minExtension is the least time by which a call extends a lease, if it acknowledges no end.
	minExtension = 500 * time.Millisecond
	// unleasedWait replaces renewWait in calls that carry no lease, so that one that is granted
	// meanwhile follows soon.
	unleasedWait = 200 * time.Millisecond
	// refusalInterval is the least time between two messages that the process refuses connections.
	// The owner closes a stream without messages after 4 s.
	refusalInterval = time.Second
	// unreachableRetryDelay is the delay between two renewals while it is out of reach.
	unreachableRetryDelay = 300 * time.Millisecond
	// renewalTimeout bounds the wait for the renewal that answers a report: a round trip between
	// two regions, and a cycle of the owner.
	renewalTimeout = 100 * time.Millisecond
	// ackTimeout bounds the wait for the owner to acknowledge ended tasks.
	ackTimeout = time.Second
)

// renewLoop renews the lease as the owner granted it and sends the reports to
// the owner. The first call does not wait for a task to end, because a new
// owner starts nothing before it has a report. The one after a failure does not
// wait either, because the lost report may have listed an ended task.
//
// A renewal has a call of its own, which is answered at once: a call that waits for a task to end
// would carry the lease and the cursor to the next process with the same id if it was carried out
// late, and take long to be found lost.
func (s *session) renewLoop(ctx context.Context) {
	wait, refusals, margin := time.Duration(0), 0, renewTimeoutMargin
	// failed reports that the latest call failed. Another process may respond since then, under
	// the same id, and must not take over the lease and the cursor of its predecessor.
	failed := false
	var applied batch.LeaseRenewal
	var progress progressWatch
	s.resumedAt = s.runner.opts.Clock()
	if s.runner.currentAnnouncement().Incarnation == (batch.Incarnation{}) {
		s.sendWorker(batch.WorkerInfo{ID: s.runner.opts.ID}) // The stream opens with the first message.
	}
	for ctx.Err() == nil {
		renewals := s.renewalCount()
		announced := s.runner.currentAnnouncement()
		if announced.Incarnation == (batch.Incarnation{}) {
			s.confirmRefusal(ctx, announced.Incarnation, renewals)
			continue
		}
		granted := s.renewalFor(announced.Incarnation)
		request := batchapi.RenewRequest{Incarnation: announced.Incarnation, Wait: wait}
		if granted.DeadlineMs == 0 {
			request.Wait = min(wait, unleasedWait)
		}
		renews := !failed && s.mayRenew(granted) && extends(granted, applied)
		if renews {
			request.DeadlineMs, request.Cursor, request.Wait = granted.DeadlineMs, granted.Cursor, 0
		}
		report, timedOut, err := s.renew(ctx, announced, request, margin)
		if failed = err != nil; failed {
			wait = 0
			if timedOut {
				margin = min(2*margin, maxRenewTimeoutMargin)
			}
			refusals = s.renewFailed(ctx, err, refusals, announced.Incarnation)
			if refusals >= refusalsUntilUnreachable {
				s.confirmRefusal(ctx, announced.Incarnation, renewals)
			}
			continue
		}
		refusals, margin, s.refusedAt = 0, max(margin/2, renewTimeoutMargin), 0
		if renews {
			applied = granted
			if len(report.Ended) == 0 {
				continue
			}
			// The process may leave before the next call lists these ends again.
		}
		wait = pollWait
		if !progress.note(report, time.Now()) && granted.DeadlineMs > 0 {
			continue
		}
		before := s.renewalCount()
		s.sendWhenFree(ctx, rpc.ReportMessage(report))
		s.awaitRenewal(ctx, before)
		s.awaitAck(ctx, report)
	}
}

// renew makes one call to the upstream process and records its outcome.
func (s *session) renew(ctx context.Context, announced batchapi.Announcement, request batchapi.RenewRequest, margin time.Duration) (report batch.Report, timedOut bool, err error) {
	renewCtx, cancel := context.WithTimeout(ctx, request.Wait+margin)
	defer cancel()
	var sentAt time.Duration
	for again := true; again; {
		sentAt, request.Token = s.runner.opts.Clock(), s.fence.token()
		report, err = s.runner.opts.Tasks.Renew(renewCtx, announced.Address, request)
		// Another call had no answer meanwhile, so that this one was refused.
		again = errkind.Is(err, errkind.StaleEpoch) && request.Token < s.fence.token()
	}
	if err != nil {
		s.runner.noteCallFailed(announced.Incarnation)
		if mayBeCarriedOut(err) {
			s.fenceOff(request.Token)
			s.noteLostLease(err, request)
		}
		return report, renewCtx.Err() != nil, err
	}
	if report.Unreadable > 0 {
		s.runner.opts.Count("report_entry_unreadable")
		s.runner.opts.Logger.Warn().Int("entries", report.Unreadable).Msg("entries of the worker's report could not be decoded; they are ignored")
	}
	if report.MoreEnds {
		s.runner.opts.Count("report_more_ends")
	}
	s.runner.noteResponse(announced.Incarnation, sentAt)
	s.runner.markReachable(announced.Incarnation)
	s.runner.noteWorkerClock(report)
	return report, false, nil
}

// mayRenew reports whether a lease may be sent to the process that it is for: it has responded since
// the latest failed call, and the lease is recent.
func (s *session) mayRenew(granted batch.LeaseRenewal) bool {
	if clock, ok := s.runner.workerClock(granted.Incarnation); ok && clock >= sendBy(granted) {
		return false
	}
	return s.runner.hasResponded(granted.Incarnation)
}

// sendBy returns the time on the worker's clock from which on a lease must not be sent.
func sendBy(granted batch.LeaseRenewal) int64 {
	if granted.SendByMs == 0 {
		return granted.DeadlineMs
	}
	return min(granted.SendByMs, granted.DeadlineMs)
}

// extends reports whether a renewal is worth a call after another one.
func extends(granted, applied batch.LeaseRenewal) bool {
	return granted.DeadlineMs > 0 && (granted.Incarnation != applied.Incarnation || granted.Cursor > applied.Cursor ||
		granted.DeadlineMs >= applied.DeadlineMs+minExtension.Milliseconds())
}

// renewalFor returns the renewal that the owner granted to an incarnation, or a
// zero one.
func (s *session) renewalFor(incarnation batch.Incarnation) batch.LeaseRenewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.renewal.Incarnation != incarnation {
		return batch.LeaseRenewal{}
	}
	return s.renewal
}

// noteLostLease reports that a call which may be carried out later, by the next process with the
// same id too, carries a lease.
func (s *session) noteLostLease(err error, request batchapi.RenewRequest) {
	if request.DeadlineMs == 0 {
		return
	}
	s.runner.opts.Count("lease_unanswered")
	s.runner.opts.Logger.Warn().Err(err).Int64("born_ms", request.Incarnation.StartedMs).Int64("deadline_ms", request.DeadlineMs).
		Bool("other_process", errkind.Is(err, errkind.StaleIncarnation)).Msg("lease renewal has no answer of its process; it may be carried out later")
}

// renewFailed waits before the next attempt and returns the number of consecutive refused
// connections. From refusalsUntilUnreachable on, the incarnation counts as out of reach.
func (s *session) renewFailed(ctx context.Context, err error, refusals int, incarnation batch.Incarnation) int {
	if ctx.Err() != nil {
		return refusals
	}
	s.runner.opts.Count("hold_failed")
	if refusals < refusalsUntilUnreachable {
		s.runner.opts.Logger.Warn().Err(err).Uint64("epoch", uint64(s.fence.epoch)).Msg("lease renewal failed; the worker sent no report")
	}
	if errkind.Is(err, errkind.StaleIncarnation) {
		s.runner.markReplaced(incarnation)
	}
	if !errkind.Is(err, errkind.Unreachable) {
		sleep(ctx, renewRetryDelay)
		return 0
	}
	if refusals++; refusals >= refusalsUntilUnreachable {
		s.runner.noteRefusals(incarnation, refusals)
		return refusals
	}
	// This delay must not be cut short by a wakeup: refusals that are closer together say
	// less about the process.
	sleep(ctx, renewRetryDelay)
	return refusals
}

// maxRefusalGap is the longest time between two attempts to reach a process that refuses
// connections, without a pause of this process.
const maxRefusalGap = time.Second

// noteRefusedAt notices a pause since the latest refusal.
func (s *session) noteRefusedAt(now time.Duration) {
	if s.refusedAt > 0 && now-s.refusedAt > maxRefusalGap {
		s.resumedAt = now
	}
	s.refusedAt = now
}

// confirmRefusal tells the owner, at most once in refusalInterval, that the process has refused a
// connection after a further renewal, or that there is none, and waits before the next attempt.
func (s *session) confirmRefusal(ctx context.Context, incarnation batch.Incarnation, renewals int) {
	s.noteRefusedAt(s.runner.opts.Clock())
	first := incarnation == (batch.Incarnation{}) && s.refusalSentAt.IsZero()
	due := first || renewals > s.refusalRenewals && time.Since(s.refusalSentAt) >= refusalInterval
	if due && s.runner.sendRefusal(s, incarnation, renewals) {
		s.refusalSentAt, s.refusalRenewals = time.Now(), renewals
	}
	s.waitForWakeup(ctx, unreachableRetryDelay)
}

func (s *session) renewalCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewals
}

// awaitRenewal waits until the owner has sent a renewal since the given number of them. The
// next call would otherwise hold the former lease open for renewWait.
func (s *session) awaitRenewal(ctx context.Context, before int) {
	deadline := time.Now().Add(renewalTimeout)
	for ctx.Err() == nil && s.renewalCount() == before && time.Now().Before(deadline) {
		s.waitForWakeup(ctx, time.Until(deadline))
	}
}

// awaitAck waits until the owner has acknowledged the ended tasks of a report.
// Until then the upstream process would list them again at once.
func (s *session) awaitAck(ctx context.Context, report batch.Report) {
	if len(report.Ended) == 0 {
		return
	}
	last := report.Ended[len(report.Ended)-1].Number
	deadline := time.Now().Add(ackTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if s.renewalFor(report.Incarnation).Cursor >= last {
			return
		}
		s.waitForWakeup(ctx, time.Until(deadline))
	}
}

// waitForWakeup waits for the given time, until a wakeup or until ctx ends.
func (s *session) waitForWakeup(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.wakeup:
	case <-time.After(d):
	}
}
