package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/control/transport"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/settings"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

func newTestEntry(t testing.TB) *Entry {
	t.Helper()
	s := Settings{ID: "e", Zone: "z", Region: "r", HTTPAddr: "127.0.0.1:1", GRPCAddr: "127.0.0.1:1", PlatformAddr: "127.0.0.1:1", AnonymousRequests: true}
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	s.DefaultTimeout = settings.Duration(time.Second)
	store := standin.NewStore()
	services := Platform{Table: store.Table("e"), Objects: store.Objects("e"), Workers: standin.NewFleet().Client("e")}
	e, err := New(s, transport.TCP{}, services, &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against an HTTP request that crashes the handler, gets no outcome, or is
// refused with an outcome that does not belong to its error kind.
func FuzzHTTPHandler(f *testing.F) {
	f.Add([]byte("POST /v1/services/echo/run HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("GET /v1/services/a%2fb/x?y=%zz HTTP/1.1\r\nHost: a\r\nLacewing-Timeout: -1s\r\n\r\n"))
	f.Add([]byte("PUT /v1/services//x HTTP/1.1\r\nHost: a\r\nConnection: lacewing-caller\r\nLacewing-Idempotent: maybe\r\n\r\n"))
	f.Add([]byte("POST /v1/services/echo/ HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Add([]byte("DELETE /%2e%2e/readyz HTTP/1.0\r\n\r\n"))
	e := newTestEntry(f)
	handler := e.routes()
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if e.InFlight() != 0 {
			t.Fatalf("%d requests are still in flight", e.InFlight())
		}
		outcome, kind := w.Header().Get(headerOutcome), w.Header().Get(headerErrorKind)
		if kind == "" {
			if outcome != "" || w.Code != http.StatusOK || r.URL.Path != "/readyz" {
				t.Fatalf("status %d, outcome %q without a kind", w.Code, outcome)
			}
			return
		}
		parsed, ok := errkind.Parse(kind)
		if !ok || parsed.Answer().Outcome.String() != outcome || parsed.Answer().HTTPStatus != w.Code {
			t.Fatalf("status %d, kind %q, outcome %q", w.Code, kind, outcome)
		}
	})
}

// Guards against unbounded buffering of bodies before requests are queued, and against
// memory that is not released to the budget.
func TestBodyBudget(t *testing.T) {
	e := newTestEntry(t)
	e.bodyBudget.limit = 100
	handler := e.routes()
	kind := func(size int) string {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/services/echo/run", bytes.NewReader(make([]byte, size))))
		return w.Header().Get(headerErrorKind)
	}
	for range 3 {
		if got := kind(101); got != errkind.QueueFull.String() {
			t.Fatalf("a body larger than the budget got %q", got)
		}
		if got := kind(100); got != errkind.NoUpstream.String() {
			t.Fatalf("a body within the budget got %q", got)
		}
	}
}

// Guards against hop-by-hop headers and headers of lacewingpier itself that reach an
// upstream, and against a path that is changed in forwarding.
func TestForwardedHeadersAndPath(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/services/echo/a%2Fb//c?q=%20x", nil)
	r.Header.Set("Connection", "X-Hop, close")
	r.Header.Set("X-Hop", "1")
	r.Header.Set("Lacewing-Caller", "c")
	r.Header.Set("Te", "trailers")
	r.Header.Set("Accept", "text/plain")
	if got := upstreamPath(r); got != "/a%2Fb//c?q=%20x" {
		t.Errorf("path %q", got)
	}
	list := forwardedHeaders(r.Header)
	if len(list) != 1 || list[0].GetName() != "Accept" {
		t.Errorf("headers %v", list)
	}
}

// Guards against a forwarded body that is accepted as complete although its length
// differs from the announced one, and against chunks that are lost or changed.
func FuzzForwardedBody(f *testing.F) {
	f.Add([]byte("abc"), int64(3), uint8(1))
	f.Add([]byte("abc"), int64(2), uint8(2))
	f.Fuzz(func(t *testing.T, content []byte, announced int64, split uint8) {
		frames := bodyFrames(content, announced, int(split)+1)
		next := 0
		reader := rpc.NewBodyReader(func() (*rpc.DispatchRequest, error) {
			if next == len(frames) {
				return nil, io.EOF
			}
			next++
			return frames[next-1], nil
		})
		got, err := io.ReadAll(reader)
		if (err == nil) != (announced == int64(len(content))) {
			t.Fatalf("%d of %d bytes: %v", len(got), announced, err)
		}
		if err == nil && !bytes.Equal(got, content) {
			t.Fatal("the body changed")
		}
	})
}

func bodyFrames(content []byte, announced int64, split int) []*rpc.DispatchRequest {
	var frames []*rpc.DispatchRequest
	for offset := 0; offset < len(content); offset += split {
		chunk := content[offset:min(offset+split, len(content))]
		frames = append(frames, &rpc.DispatchRequest{Frame: &rpc.DispatchRequest_Chunk{Chunk: chunk}})
	}
	return append(frames, &rpc.DispatchRequest{Frame: &rpc.DispatchRequest_End{End: &rpc.End{Length: announced}}})
}
