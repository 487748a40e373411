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
	// claimTimeout bounds each access to the store for a claim.
	claimTimeout = 2 * time.Second
	// claimWait is the least wait that is advised while the table is down.
	claimWait = time.Second
	// claimTries bounds the rounds of a claim that keeps losing to others.
	claimTries = 4
	// seenClaims bounds the claims whose age this entry measures.
	seenClaims = 16384
)

// heldClaim is this entry's hold on a key.
type heldClaim struct {
	claim   *claim.Claim
	key     string
	version infra.RowVersion
}

// dispatch allows one dispatch. A request without a claim is always allowed.
func (h *heldClaim) dispatch() error {
	if h == nil {
		return nil
	}
	return h.claim.Dispatch()
}

func (h *heldClaim) notRun() {
	if h != nil {
		// The only other state is one in which nothing was dispatched.
		_ = h.claim.NotRun()
	}
}

// answerKeyed runs a keyed request under a claim, or repeats its answer.
func (e *Entry) answerKeyed(ctx context.Context, req *request, out *httpAnswer) error {
	if e.table == nil {
		return errkind.New(errkind.StoreUnavailable, "this entry has no table for idempotency keys")
	}
	if err := req.body.whole(keyedBody); err != nil {
		return err
	}
	digest := claim.DigestOf(req.service, req.method, req.path, contentType(req.headers), req.body.kept)
	held, recorded, err := e.claim(ctx, req, digest)
	if err != nil {
		return err
	}
	if recorded != nil {
		return e.replay(ctx, recorded, out)
	}
	req.claim = held
	saved := false
	out.recorded = func(head *rpc.ResponseHead, body []byte) {
		saved = true
		e.finishClaim(ctx, held, head, body, out.started)
	}
	err = e.route(ctx, req, out)
	if !saved {
		e.endClaim(ctx, held)
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

// claim writes the claim's row, or returns the record of an earlier answer.
func (e *Entry) claim(ctx context.Context, req *request, digest claim.Digest) (*heldClaim, *claim.Record, error) {
	held := &heldClaim{
		claim: claim.New(digest, req.id, e.settings.ID, time.Until(req.deadline)),
		key:   claim.Key(req.workspace, req.key),
	}
	for range claimTries {
		err := e.writeClaim(ctx, held)
		if err == nil {
			return held, nil, nil
		}
		if !errkind.Is(err, errkind.Conflict) {
			return nil, nil, e.notClaimed(req.id, err)
		}
		record, err := e.judgeRow(ctx, held, digest)
		if record != nil || err != nil {
			return nil, record, err
		}
	}
	return nil, nil, errkind.WithRetryAfter(errkind.InProgress, time.Second, "other requests with this key are in progress")
}

// notClaimed says that nothing was dispatched because the table did not answer.
// The cause is logged; the caller gets the same text for every cause.
func (e *Entry) notClaimed(id ident.Request, err error) error {
	e.logger.Info().Str("request", string(id)).Err(err).Msg("idempotency key was not claimed")
	return errkind.WithRetryAfter(errkind.StoreUnavailable, max(errkind.RetryAfter(err), claimWait),
		"the table does not answer, so the idempotency key is not claimed")
}

// judgeRow reads the row that a claim lost to. It returns neither record nor
// error when the key may be claimed at the version that it noted in held.
func (e *Entry) judgeRow(ctx context.Context, held *heldClaim, digest claim.Digest) (*claim.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	row, err := e.table.Get(ctx, held.key)
	if errkind.Is(err, errkind.NotFound) {
		held.version = 0
		return nil, nil
	}
	if err != nil {
		return nil, e.notClaimed(held.claim.Record().Request, err)
	}
	record, err := claim.Decode(row.Value)
	if err != nil {
		return nil, err
	}
	judgement := claim.Decide(record, digest, e.observed.age(row.Key, row.Version, time.Now()))
	switch judgement.Verdict {
	case claim.Run:
		held.version = row.Version
		return nil, nil
	case claim.Replay:
		return &record, nil
	case claim.Expire:
		e.expireClaim(ctx, row, record)
	}
	return nil, judgement.Err
}

// expireClaim records that the outcome of a claim is unknown. The caller is
// told so in any case; a later repeat would find the same.
func (e *Entry) expireClaim(ctx context.Context, row infra.Row, record claim.Record) {
	record.State = claim.Unknown
	if _, err := e.commitRecord(ctx, row.Key, row.Version, record); err != nil {
		e.logger.Info().Str("request", string(record.Request)).Err(err).Msg("claim was not marked as unknown")
	}
}

// writeClaim writes the current state of a claim over the version that it
// holds, which is zero for a new row.
func (e *Entry) writeClaim(ctx context.Context, held *heldClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	version, err := e.commitRecord(ctx, held.key, held.version, held.claim.Record())
	if err == nil {
		held.version = version
	}
	return err
}

// commitRecord writes a record. A lost answer is resolved by reading the row
// back and comparing the id of the transaction.
func (e *Entry) commitRecord(ctx context.Context, key string, seen infra.RowVersion, record claim.Record) (infra.RowVersion, error) {
	value, err := claim.Encode(record)
	if err != nil {
		return 0, err
	}
	txn := infra.Txn{
		ID:  ident.NewID("txn-"),
		Ops: []infra.Op{{Kind: infra.OpPut, Key: key, IfVersion: seen, Value: value}},
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

// replay writes the recorded answer of an earlier request with the key.
func (e *Entry) replay(ctx context.Context, record *claim.Record, out *httpAnswer) error {
	content := record.Answer.Body
	if record.Answer.Storage == claim.StoredInObject {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		stored, err := e.objects.Get(ctx, record.Answer.Object)
		if errkind.Is(err, errkind.NotFound) {
			return errkind.Wrap(errkind.AnswerNotKept, err, "read the recorded answer")
		}
		if err != nil {
			// The request has run, so the refusal must not say "not run".
			return errkind.Wrap(errkind.InProgress, err, "read the recorded answer")
		}
		content = stored
	}
	head := &rpc.ResponseHead{Status: int32(record.Answer.Status), ContentLength: int64(len(content))}
	if record.Answer.ContentType != "" {
		head.Headers = []*rpc.Header{{Name: "Content-Type", Value: record.Answer.ContentType}}
	}
	out.w.Header().Set(headerRequestID, string(record.Request))
	if err := out.head(head); err != nil {
		return err
	}
	if err := out.chunk(content); err != nil {
		return err
	}
	return out.end(int64(len(content)))
}

// finishClaim records a complete answer. streamed says that parts of the body
// have gone to the caller and were not held.
func (e *Entry) finishClaim(ctx context.Context, held *heldClaim, head *rpc.ResponseHead, body []byte, streamed bool) {
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
	case len(body) > claim.InlineBody:
		answer.Body = nil
		answer.Storage, answer.Object = e.storeAnswer(ctx, held, body)
	}
	if err := held.claim.Finish(answer); err != nil {
		e.logger.Error().Str("request", string(held.claim.Record().Request)).Err(err).Msg("claim was not finished")
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
		e.logger.Warn().Str("request", string(held.claim.Record().Request)).Err(err).Msg("answer was not kept for repeats")
		return claim.NotStored, ""
	}
	return claim.StoredInObject, key
}

// endClaim records the end of a request that has no complete answer.
func (e *Entry) endClaim(ctx context.Context, held *heldClaim) {
	var err error
	if held.claim.State() == claim.Dispatched {
		err = held.claim.MarkUnknown()
	} else {
		err = held.claim.Release()
	}
	if err != nil {
		e.logger.Error().Str("request", string(held.claim.Record().Request)).Err(err).Msg("claim was not ended")
		return
	}
	e.saveClaim(context.WithoutCancel(ctx), held)
}

// saveClaim writes the end of a claim. Without it the claim counts as unknown
// after its life, which is safe, so a failure is only logged.
func (e *Entry) saveClaim(ctx context.Context, held *heldClaim) {
	if err := e.writeClaim(ctx, held); err != nil {
		e.logger.Warn().Str("request", string(held.claim.Record().Request)).
			Str("state", held.claim.State().String()).Err(err).Msg("claim's end was not recorded")
	}
}

// observedClaims measures how long this entry has seen a version of a row, on
// its own clock.
type observedClaims struct {
	mu   sync.Mutex
	seen map[string]observation
}

type observation struct {
	version infra.RowVersion
	first   time.Time
}

func newObservedClaims() *observedClaims {
	return &observedClaims{seen: make(map[string]observation)}
}

// age notes the first sight of a version and returns the time since. When the
// memory is full an arbitrary entry is dropped, which only makes the claim
// count as in progress for longer.
func (o *observedClaims) age(key string, version infra.RowVersion, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.seen[key]; ok && s.version == version {
		return now.Sub(s.first)
	}
	if len(o.seen) >= seenClaims {
		for k := range o.seen {
			delete(o.seen, k)
			break
		}
	}
	o.seen[key] = observation{version: version, first: now}
	return 0
}

var _ sink = (*httpAnswer)(nil)
