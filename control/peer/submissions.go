package peer

import (
	"context"

	"github.com/lacewingpier/lacewingpier/core/rows"
)

// maxSubmissionCalls is to how many entries a relayed transaction of a caller's row is sent.
// The caller's entry repeats it, and then begins with the entries that it has not tried lately. A
// store that refuses all of them would get a call from each with every repetition.
const maxSubmissionCalls = 2

// Submissions relays the rows of callers, whose entry repeats refused transactions. It shares the
// connections and the ranking of its client.
type Submissions struct{ *Client }

// Commit commits a transaction through another entry, at most maxSubmissionCalls of them.
func (s Submissions) Commit(ctx context.Context, txn rows.Txn) (rows.Applied, error) {
	return s.commit(ctx, txn, maxSubmissionCalls)
}
