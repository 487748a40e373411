package adminapi

import (
	"strconv"
	"time"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// ConfigInfo answers GET /v1/config.
type ConfigInfo struct {
	// InForce is the record in the table.
	InForce config.Record `json:"in_force"`
	// ThisEntry is the configuration that the answering entry has loaded.
	ThisEntry config.Status `json:"here"`
}

// SheetText answers GET /v1/config/sheet.
type SheetText struct {
	Record config.Record `json:"record"`
	Sheet  string        `json:"sheet"`
}

// CheckResult answers POST /v1/config/check and POST /v1/config/diff for a sheet
// without problems.
type CheckResult struct {
	// Version is the version that the sheet was compared with; an apply
	// states it as the version that the operator has seen.
	Version ident.ConfigVersion `json:"version"`
	// Digest is the digest that the sheet would have if it were applied now.
	Digest string   `json:"digest"`
	Diff   []string `json:"diff"`
}

// ApplyResult answers POST /v1/config/apply.
type ApplyResult struct {
	Record config.Record `json:"record"`
	Diff   []string      `json:"diff"`
}

// HistoryList answers GET /v1/config/history.
type HistoryList struct {
	Records []config.Record `json:"records"`
}

// Limits on the number of records in one answer of GET /v1/config/history.
const (
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

func (a *API) showConfig(c call) (any, error) {
	info := ConfigInfo{ThisEntry: a.opts.Follower.Status()}
	var err error
	info.InForce, err = a.opts.Store.Current(c.Context())
	return info, err
}

func (a *API) configSheet(c call) (any, error) {
	record, err := a.requestedRecord(c)
	if err != nil {
		return nil, err
	}
	body, err := a.opts.Store.Body(c.Context(), record.Digest)
	return SheetText{Record: record, Sheet: string(body)}, err
}

// requestedRecord returns the record that the query names; the default is the
// one in force.
func (a *API) requestedRecord(c call) (config.Record, error) {
	text := c.URL.Query().Get("version")
	if text == "" {
		return a.opts.Store.Current(c.Context())
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return config.Record{}, errkind.New(errkind.InvalidArgument, "version must be a number")
	}
	return a.opts.Store.Version(c.Context(), ident.ConfigVersion(version))
}

// checkAndDiff reads a sheet from the body, checks it and compares it with the
// one in force.
func (a *API) checkAndDiff(c call) (before, next *sheet.Sheet, result CheckResult, err error) {
	text, err := readSheet(c.Body)
	if err != nil {
		return nil, nil, result, err
	}
	current, err := a.opts.Store.Current(c.Context())
	if err != nil {
		return nil, nil, result, err
	}
	before, err = a.loadSheet(c, current)
	if err != nil {
		return nil, nil, result, err
	}
	limits, err := a.opts.Backend.Limits(c.Context())
	if err != nil {
		return nil, nil, result, err
	}
	next, err = sheet.Check(text, before, limits)
	if err != nil {
		return nil, nil, result, err
	}
	result = CheckResult{Version: current.Version, Digest: exchange.Digest(next.Encode()), Diff: notNil(sheet.Diff(before, next))}
	return before, next, result, nil
}

// loadSheet returns the sheet of a record, from memory when this entry has it
// loaded and from the store otherwise.
func (a *API) loadSheet(c call, record config.Record) (*sheet.Sheet, error) {
	if loaded := a.opts.Follower.Current(); loaded.Digest == record.Digest {
		return loaded.Sheet, nil
	}
	return a.opts.Store.Sheet(c.Context(), record.Digest)
}

func (a *API) checkConfig(c call) (any, error) {
	_, _, result, err := a.checkAndDiff(c)
	return result, err
}

// diffConfig shows what a sheet changes, even when its guarantees do not fit the
// current capacity.
func (a *API) diffConfig(c call) (any, error) {
	text, err := readSheet(c.Body)
	if err != nil {
		return nil, err
	}
	next, err := sheet.Parse(text)
	if err != nil {
		return nil, err
	}
	record, err := a.requestedRecord(c)
	if err != nil {
		return nil, err
	}
	before, err := a.loadSheet(c, record)
	if err != nil {
		return nil, err
	}
	next = sheet.KeepHomes(next, before)
	return CheckResult{Version: record.Version, Digest: exchange.Digest(next.Encode()), Diff: notNil(sheet.Diff(before, next))}, nil
}

func (a *API) applyConfig(c call) (any, error) {
	seen, err := strconv.ParseUint(c.URL.Query().Get("seen"), 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.InvalidArgument, "the query must name the version that the change is based on, such as ?seen=41")
	}
	if !a.opts.Follower.MayReduceGuarantees() {
		return nil, errkind.New(errkind.NotReady, "this entry has not confirmed its configuration for %v; use another entry", config.StaleAfter)
	}
	// A conflict with a newer version is reported before problems of the sheet,
	// because it may be their cause.
	if err := a.opts.Store.CheckSeen(c.Context(), ident.ConfigVersion(seen)); err != nil {
		return nil, err
	}
	before, next, result, err := a.checkAndDiff(c)
	if err != nil {
		return nil, err
	}
	record, err := a.opts.Store.Apply(c.Context(), config.ApplyRequest{
		Seen: ident.ConfigVersion(seen), Sheet: next, Parent: before, Operator: string(c.actor.Caller), Now: time.Now(),
	})
	if err != nil {
		return nil, err
	}
	return ApplyResult{Record: record, Diff: result.Diff}, nil
}

func (a *API) configHistory(c call) (any, error) {
	limit := defaultHistoryLimit
	if text := c.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return nil, errkind.New(errkind.InvalidArgument, "limit must be between 1 and %d", maxHistoryLimit)
		}
		limit = n
	}
	records, err := a.opts.Store.History(c.Context(), limit)
	return HistoryList{Records: notNil(records)}, err
}
