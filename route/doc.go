// Package route groups the libraries for request admission and routing, which
// perform no I/O: queues, upstream choice, limits, retries and claims of
// idempotency keys.
package route
