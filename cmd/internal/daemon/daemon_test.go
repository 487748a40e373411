package daemon

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"
)

type emptySettings struct{}

func (*emptySettings) Validate() error { return nil }

type blockingRunner struct{ started chan struct{} }

func (r blockingRunner) Run(ctx context.Context) error {
	close(r.started)
	<-ctx.Done()
	return nil
}

// logBuffer collects log output and notifies a reader of new output. Writes that
// the reader has not seen yet are notified once.
type logBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, err := l.text.Write(p)
	select {
	case l.written <- struct{}{}:
	default:
	}
	return n, err
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// Guards against a process that exits on SIGHUP, which the platform sends when
// the settings file has changed.
func TestHangupRereadsSettings(t *testing.T) {
	Convey("A daemon keeps running after SIGHUP and logs whether its settings changed", t, func() {
		path := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(path, []byte("{}"), 0o600), ShouldBeNil)
		out := &logBuffer{written: make(chan struct{}, 1)}
		logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: out}}
		runner := blockingRunner{started: make(chan struct{})}
		code := make(chan int, 1)
		go func() {
			code <- Main(path, &emptySettings{}, logger, func() (Runner, error) { return runner, nil })
		}()
		<-runner.started
		So(os.WriteFile(path, []byte(`{ }`), 0o600), ShouldBeNil)
		So(syscall.Kill(os.Getpid(), syscall.SIGHUP), ShouldBeNil)
		deadline := time.After(10 * time.Second)
		for !out.contains(`"changed":true`) {
			select {
			case <-out.written:
			case got := <-code:
				t.Fatalf("daemon exited with code %d", got)
			case <-deadline:
				t.Fatal("no log line says that the settings have changed")
			}
		}
		So(syscall.Kill(os.Getpid(), syscall.SIGTERM), ShouldBeNil)
		So(<-code, ShouldEqual, ExitOK)
	})
}
