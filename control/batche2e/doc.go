// Package batche2e holds the end-to-end tests with golden files of the batch
// scheduler: entries, agents, workers and a store in one process under virtual
// time, over in-memory connections.
package batche2e
