// Package batche2e holds the end-to-end tests of the batch scheduler, which
// compare transcripts with golden files. Entries, agents, workers and a store run
// in one process under virtual time, over in-memory connections.
package batche2e
