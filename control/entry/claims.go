package entry

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/route/claim"
)

const (
	// claimTimeout limits each access to the table or object store for a claim.
	claimTimeout = 2 * time.Second
	// minClaimRetryAfter is the minimum Retry-After while the table is down.
	minClaimRetryAfter = time.Second
	// maxClaimAttempts limits the attempts of a claim that keeps losing write
	// conflicts.
	maxClaimAttempts = 4
	// maxTrackedClaims limits the number of claims whose age this entry measures.
	maxTrackedClaims = 16384
)

// heldClaim is a claim on an idempotency key that this entry holds.
type heldClaim struct {
	claim   *claim.Claim
	key     string
	version infra.RowVersion
}

// dispatch records a dispatch in the claim, or returns an error if the claim forbids
// it. A request without a claim may always be dispatched.
func (h *heldClaim) dispatch() error {
	if h == nil {
		return nil
	}
	return h.claim.Dispatch()
}

func (h *heldClaim) notRun() {
	if h != nil {
		// NotRun fails only in a state in which nothing was dispatched.
		_ = h.claim.NotRun()
	}
}

// answerKeyed runs a request with an idempotency key under a claim, or replays the
// recorded answer of an earlier request with the key.
func (e *Entry) answerKeyed(ctx context.Context, req *request, out *httpAnswer) error {
	if e.table == nil {
		return errkind.New(errkind.StoreUnavailable, "this entry has no table for idempotency keys")
	}
	if err := req.body.bufferAll(maxKeyedBodyBytes); err != nil {
		return err
	}
	digest := claim.DigestOf(req.service, req.method, req.path, contentType(req.headers), req.body.buffered)
	held, recorded, err := e.acquireClaim(ctx, req, digest)
	if err != nil {
		return err
	}
	if recorded != nil {
		return e.replay(ctx, recorded, out)
	}
	req.claim = held
	completed := false
	out.onComplete = func(head *rpc.ResponseHead, body []byte) {
		completed = true
		e.completeClaim(ctx, held, head, body, out.started)
	}
	err = e.route(ctx, req, out)
	if !completed {
		e.abortClaim(ctx, held)
	}
	return err
}

func contentType(headers []*rpc.Header) string {
	for _, h := range headers {
		if h.GetName() == "Content-Type" {
			return h.GetValue()
		}
	}
	return ""
}

// acquireClaim writes the claim's row, or returns the record of an earlier answer.
func (e *Entry) acquireClaim(ctx context.Context, req *request, digest claim.Digest) (*heldClaim, *claim.Record, error) {
	held := &heldClaim{
		claim: claim.New(digest, req.id, e.settings.ID, time.Until(req.deadline)),
		key:   claim.Key(req.workspace, req.idempotencyKey),
	}
	for range maxClaimAttempts {
		err := e.writeClaim(ctx, held)
		if err == nil {
			return held, nil, nil
		}
		if !errkind.Is(err, errkind.Conflict) {
			return nil, nil, e.claimUnavailable(req.id, err)
		}
		record, err := e.resolveConflict(ctx, held, digest)
		if record != nil || err != nil {
			return nil, record, err
		}
	}
	return nil, nil, errkind.WithRetryAfter(errkind.InProgress, time.Second, "other requests with this key are in progress")
}

// claimUnavailable logs why a claim failed and returns the error for the caller:
// nothing was dispatched because the table did not answer. The caller gets the same
// text for every cause.
func (e *Entry) claimUnavailable(id ident.Request, err error) error {
	e.logger.Info().Str("request", string(id)).Err(err).Msg("idempotency key was not claimed")
	return errkind.WithRetryAfter(errkind.StoreUnavailable, max(errkind.RetryAfter(err), minClaimRetryAfter),
		"the table does not answer, so the idempotency key is not claimed")
}

// resolveConflict reads the row that a claim conflicts with and decides what the
// request does. It returns neither record nor error when the key can be claimed at
// the row version that it stored in held.
func (e *Entry) resolveConflict(ctx context.Context, held *heldClaim, digest claim.Digest) (*claim.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, err := e.table.Get(ctx, held.key)
	if errkind.Is(err, errkind.NotFound) {
		held.version = 0
		return nil, nil
	}
	if err != nil {
		return nil, e.claimUnavailable(held.claim.Record().Request, err)
	}
	record, err := claim.Decode(row.Value)
	if err != nil {
		return nil, err
	}
	decision := claim.Decide(record, digest, e.claimAges.age(row.Key, row.Version, time.Now()))
	switch decision.Verdict {
	case claim.Run:
		held.version = row.Version
		return nil, nil
	case claim.Replay:
		return &record, nil
	case claim.Expire:
		e.markClaimUnknown(ctx, row, record)
	}
	return nil, decision.Err
}

// markClaimUnknown records that the outcome of an expired claim is unknown. A
// failure is only logged: the caller gets an unknown outcome in any case, and so
// would a later repeat.
func (e *Entry) markClaimUnknown(ctx context.Context, row infra.Row, record claim.Record) {
	record.State = claim.Unknown
	if _, err := e.commitRecord(ctx, row.Key, row.Version, record); err != nil {
		e.logger.Info().Str("request", string(record.Request)).Err(err).Msg("could not mark claim as unknown")
	}
}

// writeClaim writes the current state of a claim, on condition that the row still
// has the version in held. The version is zero for a new row.
func (e *Entry) writeClaim(ctx context.Context, held *heldClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := e.commitRecord(ctx, held.key, held.version, held.claim.Record())
	if err == nil {
		held.version = version
	}
	return err
}

// commitRecord writes a record. An unknown outcome is resolved by reading the row
// back and comparing the id of the transaction.
func (e *Entry) commitRecord(ctx context.Context, key string, ifVersion infra.RowVersion, record claim.Record) (infra.RowVersion, error) {
	value, err := claim.Encode(record)
	if err != nil {
		return 0, err
	}
	txn := infra.Txn{
		ID:  ident.NewID("txn-"),
		Ops: []infra.Op{{Kind: infra.OpPut, Key: key, IfVersion: ifVersion, Value: value}},
	}
	result, err := e.table.Commit(ctx, txn)
	if err == nil {
		return result.Versions[0], nil
	}
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		return 0, err
	}
	row, readErr := e.table.Get(ctx, key)
	switch {
	case readErr == nil && row.WriteID == txn.ID:
		return row.Version, nil
	case readErr == nil:
		return 0, errkind.New(errkind.Conflict, "row %q was written by another transaction", key)
	default:
		return 0, err
	}
}

// replay writes the recorded answer of an earlier request with the same key.
func (e *Entry) replay(ctx context.Context, record *claim.Record, out *httpAnswer) error {
	content := record.Answer.Body
	if record.Answer.Storage == claim.StoredInObject {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		object, err := e.objects.Get(ctx, record.Answer.Object)
		if errkind.Is(err, errkind.NotFound) {
			return errkind.Wrap(errkind.AnswerNotKept, err, "read the recorded answer")
		}
		if err != nil {
			// The request has run, so the error must not say "not run".
			return errkind.Wrap(errkind.InProgress, err, "read the recorded answer")
		}
		content = object
	}
	head := &rpc.ResponseHead{Status: int32(record.Answer.Status), ContentLength: int64(len(content))}
	if record.Answer.ContentType != "" {
		head.Headers = []*rpc.Header{{Name: "Content-Type", Value: record.Answer.ContentType}}
	}
	out.w.Header().Set(headerRequestID, string(record.Request))
	if err := out.writeHead(head); err != nil {
		return err
	}
	if err := out.writeChunk(content); err != nil {
		return err
	}
	return out.writeEnd(int64(len(content)))
}

// completeClaim records a complete answer. streamed means that parts of the body
// were sent to the caller without being buffered, so the body cannot be recorded.
func (e *Entry) completeClaim(ctx context.Context, held *heldClaim, head *rpc.ResponseHead, body []byte, streamed bool) {
	ctx = context.WithoutCancel(ctx)
	answer := claim.Answer{
		Storage:     claim.StoredInRow,
		Status:      int(head.GetStatus()),
		ContentType: contentType(head.GetHeaders()),
		Body:        body,
	}
	switch {
	case streamed:
		answer.Storage, answer.Body = claim.NotStored, nil
	case len(body) > claim.MaxInlineBodyBytes:
		answer.Body = nil
		answer.Storage, answer.Object = e.storeAnswer(ctx, held, body)
	}
	if err := held.claim.Finish(answer); err != nil {
		e.logger.Error().Str("request", string(held.claim.Record().Request)).Err(err).Msg("could not complete claim")
		return
	}
	e.saveClaim(ctx, held)
}

func (e *Entry) storeAnswer(ctx context.Context, held *heldClaim, body []byte) (claim.AnswerStorage, string) {
	if e.objects == nil {
		return claim.NotStored, ""
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := "answer/" + string(held.claim.Record().Request)
	if err := e.objects.Put(ctx, key, body); err != nil {
		e.logger.Warn().Str("request", string(held.claim.Record().Request)).Err(err).Msg("could not store answer for replay")
		return claim.NotStored, ""
	}
	return claim.StoredInObject, key
}

// abortClaim ends the claim of a request without a complete answer: its outcome is
// unknown if the request was dispatched, otherwise the claim is released.
func (e *Entry) abortClaim(ctx context.Context, held *heldClaim) {
	var err error
	if held.claim.State() == claim.Dispatched {
		err = held.claim.MarkUnknown()
	} else {
		err = held.claim.Release()
	}
	if err != nil {
		e.logger.Error().Str("request", string(held.claim.Record().Request)).Err(err).Msg("could not abort claim")
		return
	}
	e.saveClaim(context.WithoutCancel(ctx), held)
}

// saveClaim writes the final state of a claim. If the write fails, the outcome counts
// as unknown once the validity of the claim ends, which is safe, so a failure is
// only logged.
func (e *Entry) saveClaim(ctx context.Context, held *heldClaim) {
	if err := e.writeClaim(ctx, held); err != nil {
		e.logger.Warn().Str("request", string(held.claim.Record().Request)).
			Str("state", held.claim.State().String()).Err(err).Msg("could not save final state of claim")
	}
}

// claimAges measures, on this entry's own clock, how long it has observed the same
// version of a claim's row.
type claimAges struct {
	mu           sync.Mutex
	observations map[string]observation
}

type observation struct {
	version   infra.RowVersion
	firstSeen time.Time
}

func newClaimAges() *claimAges {
	return &claimAges{observations: make(map[string]observation)}
}

// age returns the time since this entry first saw the version of the row, and
// records the first observation. When the map is full, an arbitrary observation is
// evicted, which only makes that claim count as in progress for longer.
func (a *claimAges) age(key string, version infra.RowVersion, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s, ok := a.observations[key]; ok && s.version == version {
		return now.Sub(s.firstSeen)
	}
	if len(a.observations) >= maxTrackedClaims {
		for k := range a.observations {
			delete(a.observations, k)
			break
		}
	}
	a.observations[key] = observation{version: version, firstSeen: now}
	return 0
}

var _ answerWriter = (*httpAnswer)(nil)
