// Package session holds the golden files of whole sessions: entries, agents,
// upstreams and workers run in one process under virtual time, and the
// transcript of answers, log lines and counters is compared byte for byte.
package session
