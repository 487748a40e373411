package daemon

import (
	"bytes"
	"context"
	"os"
	"os/exec"
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

// startingProcess is set in the environment of the process that TestSignalsDuringStart starts.
const startingProcess = "DAEMON_TEST_STARTING"

// TestMain runs a daemon that gets signals while it starts, in a process of its own.
func TestMain(m *testing.M) {
	path := os.Getenv(startingProcess)
	if path == "" {
		os.Exit(m.Run())
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stdout}}
	os.Exit(Main(path, &signalingSettings{}, logger, func() (Runner, error) {
		return blockingRunner{started: make(chan struct{})}, nil
	}))
}

// signalingSettings signal their own process when they are validated.
type signalingSettings struct{}

func (*signalingSettings) Validate() error {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a process that a signal ends, with the status of a crash, because it has just
// been started.
func TestSignalsDuringStart(t *testing.T) {
	Convey("A daemon that gets SIGHUP and SIGTERM while it starts shuts down", t, func() {
		path := filepath.Join(t.TempDir(), "settings.json")
		So(os.WriteFile(path, []byte("{}"), 0o600), ShouldBeNil)
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), startingProcess+"="+path)
		out, err := cmd.Output()
		So(err, ShouldBeNil)
		So(string(out), ShouldContainSubstring, "shutting down")
	})
}
