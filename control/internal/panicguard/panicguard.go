// Package panicguard keeps a panic in one part of a process from ending the process.
package panicguard

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"
	"google.golang.org/grpc"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// restartDelay is the time between the panic of a background loop and its restart. A loop
// that panics at once each time must not use up the processor.
const restartDelay = 500 * time.Millisecond

// Guard reports the panics that it contains. It is safe for concurrent use.
type Guard struct {
	Logger *log.Logger
	// Count is called with the name of each counted event.
	Count func(event string)
}

// Run calls fn. If fn panics, it returns an error of kind Internal, logs the panic with the
// name of the part, and counts it.
func (g Guard) Run(part string, fn func()) error {
	recovered := panics.Try(fn)
	if recovered == nil {
		return nil
	}
	g.Count("panic")
	g.Logger.Error().Str("part", part).Str("panic", fmt.Sprint(recovered.Value)).Str("stack", string(recovered.Stack)).
		Msg("panic contained")
	return errkind.New(errkind.Internal, "panic in %s: %v", part, recovered.Value)
}

// Loop calls fn, which works until ctx ends, again each time that it panics.
func (g Guard) Loop(ctx context.Context, part string, fn func(context.Context)) {
	for g.Run(part, func() { fn(ctx) }) != nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

// HTTP returns a handler that answers 500 if the given one panics before it answers. The
// outcome of such a call is unknown to its caller.
func (g Guard) HTTP(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &responseTracker{ResponseWriter: w}
		err := g.Run(r.Method+" "+r.URL.Path, func() { handler.ServeHTTP(tracked, r) })
		if err != nil && tracked.started {
			panic(http.ErrAbortHandler) // breaks the connection instead of ending the response
		}
		if err != nil {
			http.Error(w, "internal error", http.StatusInternalServerError)
		}
	})
}

// responseTracker notes whether a response has begun.
type responseTracker struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (t *responseTracker) WriteHeader(status int) {
	t.started = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *responseTracker) Write(p []byte) (int, error) {
	t.started = true
	return t.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the original writer.
func (t *responseTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// GRPCOptions returns the options of a server whose handlers may panic: the call fails
// with an unknown outcome.
func (g Guard) GRPCOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
			if panicked := g.Run(info.FullMethod, func() { resp, err = handler(ctx, req) }); panicked != nil {
				return nil, panicked
			}
			return resp, err
		}),
		grpc.StreamInterceptor(func(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
			if panicked := g.Run(info.FullMethod, func() { err = handler(srv, stream) }); panicked != nil {
				return panicked
			}
			return err
		}),
	}
}
