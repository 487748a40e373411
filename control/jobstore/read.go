package jobstore

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/lacewingpier/lacewingpier/core/rows"
)

const (
	// readTimeout bounds a read over one path.
	readTimeout = 800 * time.Millisecond
	// readHedgeDelay is when a read without a response is repeated over the other path.
	// The store and other entries answer within a round trip between regions, unless one
	// of them is cut off.
	readHedgeDelay = 200 * time.Millisecond
)

// Read returns the current row in the store and applies it to the replica. It reads
// through another entry if the last call to the store failed, and over the other path as
// well if the first one fails or has not responded after readHedgeDelay.
func (w *Writer) Read(ctx context.Context, key string) (rows.Row, bool, error) {
	r := rowRead{writer: w, key: key, results: make(chan readResult, 2)}
	ctx, cancel := context.WithCancel(ctx)
	defer r.group.Wait()
	defer cancel()
	result := r.run(ctx)
	if result.err == nil && result.found {
		w.Replica.Apply([]rows.Row{result.row})
	}
	return result.row, result.found, result.err
}

// rowRead is the state of one Read call.
type rowRead struct {
	writer  *Writer
	key     string
	results chan readResult
	group   conc.WaitGroup
}

type readResult struct {
	row   rows.Row
	found bool
	err   error
}

// run returns the first successful result, or the last error.
func (r *rowRead) run(ctx context.Context) readResult {
	direct := r.writer.Relay == nil || r.writer.Replica.Connected()
	r.start(ctx, direct)
	if r.writer.Relay == nil {
		return <-r.results
	}
	select {
	case result := <-r.results:
		if result.err == nil {
			return result
		}
		r.start(ctx, !direct)
		return <-r.results
	case <-time.After(readHedgeDelay):
	}
	r.start(ctx, !direct)
	if result := <-r.results; result.err == nil {
		return result
	}
	return <-r.results
}

// start starts a read over one path.
func (r *rowRead) start(ctx context.Context, direct bool) {
	r.group.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		read := r.writer.readDirectly
		if !direct {
			read = r.writer.Relay.ReadRow
		}
		row, found, err := read(ctx, r.key)
		r.results <- readResult{row, found, err}
	})
}

func (w *Writer) readDirectly(ctx context.Context, key string) (rows.Row, bool, error) {
	return ReadRow(ctx, w.Store, key)
}

// ReadRow reads one row from the store.
func ReadRow(ctx context.Context, store rows.Store, key string) (rows.Row, bool, error) {
	page, err := store.Read(ctx, key, key+"\x00")
	if err != nil || len(page.Rows) == 0 {
		return rows.Row{}, false, err
	}
	return page.Rows[0], true, nil
}
