// Package route groups the pure request admission and routing libraries:
// queues, upstream choice, limits, retries and claims of idempotency keys.
package route
