package entry

import (
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/route/claim"
	"github.com/lacewingpier/lacewingpier/route/pick"
)

// maxForwardedDispatches limits the dispatch ids that an entry remembers to detect
// duplicate requests from other regions.
const maxForwardedDispatches = 1 << 17

// Peer is an entry of another region.
type Peer struct {
	ID       ident.Entry
	Region   ident.Region
	Zone     ident.Zone
	GRPCAddr string
	// Incarnation is the result of the peer's Entry.Incarnation.
	Incarnation ident.Incarnation
	// Capacity is the result of the peer's Entry.Capacity.
	Capacity []*rpc.ServiceCapacity
	// Reported is when the peer sent this.
	Reported time.Time
}

// UpdatePeer records what membership reports about an entry of another region.
// Requests are forwarded to it as long as it has free slots.
func (e *Entry) UpdatePeer(p Peer) error {
	if p.Region == e.settings.Region {
		return nil
	}
	for _, c := range p.Capacity {
		candidate := pick.Candidate{
			ID: peerID(p.ID), Zone: p.Zone, Region: p.Region,
			Slots: peerSlots, Credits: int(c.GetFreeSlots()), Reported: p.Reported,
		}
		s := e.services.getOrCreate(ident.Service(c.GetService()))
		if err := s.setCandidate(e.network, candidate, p.GRPCAddr, string(p.Incarnation), true); err != nil {
			return err
		}
	}
	return nil
}

// peerSlots exceeds any number of requests in flight to one peer, so that only its
// reported free slots limit them.
const peerSlots = 1 << 20

// Capacity returns the capacity that this entry offers to other regions.
func (e *Entry) Capacity() []*rpc.ServiceCapacity {
	now := time.Now()
	var list []*rpc.ServiceCapacity
	for _, s := range e.services.all() {
		c := s.capacity(now)
		if e.draining.Load() {
			c.FreeSlots = 0
		}
		list = append(list, c)
	}
	return list
}

// Incarnation returns the incarnation that forwarded requests must name. It rotates
// while the process runs, so each exchange with a peer carries it.
func (e *Entry) Incarnation() ident.Incarnation {
	e.forwardMu.Lock()
	defer e.forwardMu.Unlock()
	if now := time.Now(); e.forwardDedup.RotateDue(now) {
		e.forwardDedup.Rotate(now, newIncarnation())
	}
	return e.forwardDedup.Incarnation()
}

func newIncarnation() ident.Incarnation { return ident.Incarnation(ident.NewID("entry-")) }

func newForwardDeduplicator() *claim.Deduplicator {
	return claim.NewDeduplicator(time.Now(), newIncarnation(), maxForwardedDispatches)
}

// Forward implements rpc.EntryServer.
func (e *Entry) Forward(stream rpc.Entry_ForwardServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	out := &forwardAnswer{stream: stream, requestID: first.GetRequestId(), dispatchID: first.GetDispatchId()}
	if err := e.serveForward(first, out); err != nil {
		e.stats.countRefused(err)
		e.logger.Info().Str("request", out.requestID).Str("kind", errkind.Of(err).String()).Err(err).
			Msg("forwarded request failed")
		return out.writeFailure(err)
	}
	e.stats.answered.Inc(1)
	return nil
}

func (e *Entry) serveForward(first *rpc.DispatchRequest, out *forwardAnswer) error {
	head := first.GetHead()
	if head == nil {
		return errkind.New(errkind.InvalidArgument, "first frame is not a head")
	}
	if err := e.admitForward(first.GetDispatchId(), head); err != nil {
		return err
	}
	req := newForwardedRequest(first.GetRequestId(), head, time.Now())
	removeInFlight, err := e.inFlight.addForwarded(req.id)
	if err != nil {
		return err
	}
	defer removeInFlight()
	e.servedForward.Store(true)
	release, err := e.bodyBudget.reserve(bufferedSize(head.GetContentLength(), bufferedBodyBytes))
	if err != nil {
		return err
	}
	defer release()
	if req.body, err = readForwardedBody(head, out.stream); err != nil {
		return err
	}
	return e.route(out.stream.Context(), req, out)
}

func readForwardedBody(head *rpc.RequestHead, stream rpc.Entry_ForwardServer) (*body, error) {
	if head.GetWhole() {
		return &body{buffered: head.GetBody()}, nil
	}
	return readBody(rpc.NewBodyReader(stream.Recv), head.GetContentLength(), bufferedBodyBytes)
}

// admitForward refuses a duplicate of a non-idempotent request.
func (e *Entry) admitForward(dispatchID string, head *rpc.RequestHead) error {
	if head.GetIdempotent() {
		return nil
	}
	e.forwardMu.Lock()
	defer e.forwardMu.Unlock()
	timeLeft := time.Duration(head.GetTimeLeftMs()) * time.Millisecond
	return e.forwardDedup.Admit(time.Now(), ident.Dispatch(dispatchID), ident.Incarnation(head.GetAgentIncarnation()), timeLeft)
}

func newForwardedRequest(id string, head *rpc.RequestHead, now time.Time) *request {
	return &request{
		id:            ident.Request(id),
		service:       ident.Service(head.GetService()),
		workspace:     ident.Workspace(head.GetWorkspace()),
		caller:        ident.Caller(head.GetCaller()),
		idempotent:    head.GetIdempotent(),
		urgent:        head.GetUrgent(),
		forwarded:     true,
		deadline:      now.Add(time.Duration(head.GetTimeLeftMs()) * time.Millisecond),
		method:        head.GetMethod(),
		path:          head.GetPath(),
		headers:       head.GetHeaders(),
		contentLength: head.GetContentLength(),
	}
}

// forwardAnswer sends an answer to the entry that forwarded the request.
type forwardAnswer struct {
	stream     rpc.Entry_ForwardServer
	requestID  string
	dispatchID string
	started    bool
}

func (a *forwardAnswer) newFrame() *rpc.DispatchResponse {
	return &rpc.DispatchResponse{RequestId: a.requestID, DispatchId: a.dispatchID}
}

func (a *forwardAnswer) send(f *rpc.DispatchResponse) error {
	a.started = true
	return errkind.Wrap(errkind.Canceled, a.stream.Send(f), "send to entry")
}

func (a *forwardAnswer) hasStarted() bool { return a.started }

func (a *forwardAnswer) writeHead(h *rpc.ResponseHead) error {
	f := a.newFrame()
	f.Frame = &rpc.DispatchResponse_Head{Head: h}
	return a.send(f)
}

func (a *forwardAnswer) writeChunk(p []byte) error {
	f := a.newFrame()
	f.Frame = &rpc.DispatchResponse_Chunk{Chunk: p}
	return a.send(f)
}

func (a *forwardAnswer) writeEnd(length int64) error {
	f := a.newFrame()
	f.Frame = &rpc.DispatchResponse_End{End: &rpc.End{Length: length}}
	return a.send(f)
}

func (a *forwardAnswer) writeFailure(err error) error {
	f := a.newFrame()
	f.Frame = &rpc.DispatchResponse_Failure{Failure: rpc.NewFailure(err)}
	return a.send(f)
}
