// Package e2e contains the end-to-end tests. Entries, agents, upstreams and workers
// run in one process under virtual time; golden tests compare the transcript of
// answers, log lines and counters byte for byte.
package e2e
