package httpserver

import "net/http"

// closeWhenDraining returns a handler whose responses end their connection while draining
// returns true, so that callers use another one for their next request.
func closeWhenDraining(handler http.Handler, draining func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := &responseWriter{ResponseWriter: w, draining: draining}
		handler.ServeHTTP(response, r)
		response.announceClose()
	})
}

// responseWriter announces the end of the connection in the header of a response.
type responseWriter struct {
	http.ResponseWriter
	draining func() bool
	started  bool
}

func (w *responseWriter) announceClose() {
	if !w.started && w.draining() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.announceClose()
	w.started = w.started || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.announceClose()
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the original writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
