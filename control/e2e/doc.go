// Package e2e holds the end-to-end tests with golden files: entries, agents,
// upstreams and workers run in one process under virtual time, and the
// transcript of answers, log lines and counters is compared byte for byte.
package e2e
