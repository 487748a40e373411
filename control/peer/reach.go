package peer

import "time"

// reconnectPause is how long after a failed connection to an entry relayed calls that another
// entry has refused do not wait for it.
const reconnectPause = 2 * time.Second

// isUnreachable reports whether a connection to an entry has failed lately. Once another entry has
// been called, connectTimeout is better spent on the caller's next attempt.
func (c *Client) isUnreachable(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	failedAt, failed := c.unreachable[address]
	return failed && time.Since(failedAt) < reconnectPause
}

// relayOrder returns the addresses of the other entries in the order in which relayed calls try
// them: those that can't be reached come last.
func (c *Client) relayOrder() []string {
	var reachable, others []string
	for _, address := range c.relays.searchOrder(c.Self, c.Addresses()) {
		if c.isUnreachable(address) {
			others = append(others, address)
		} else {
			reachable = append(reachable, address)
		}
	}
	return append(reachable, others...)
}

// noteConnection notes whether an entry could be connected to.
func (c *Client) noteConnection(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.unreachable, address)
		return
	}
	if c.unreachable == nil {
		c.unreachable = make(map[string]time.Time)
	}
	c.unreachable[address] = time.Now()
}
