// Package standin provides small in-memory fakes of the platform's services for
// tests and demos: the table, the object store, workers and upstreams. They keep
// state and support fault injection; they don't simulate a whole cluster.
package standin
