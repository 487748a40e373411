package telemetry

import (
	"bytes"
	"io"
	"regexp"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// NewLogger returns a logger that writes JSON lines with the process's identity.
// Bearer keys and key hashes are removed from every line before it is written.
func NewLogger(w io.Writer, level string, id Identity) (*log.Logger, error) {
	parsed, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	context := log.NewContext(nil).Str("process", id.Process).Str("id", id.ID).Str("zone", id.Zone).Value()
	return &log.Logger{Level: parsed, Context: context, Writer: &log.IOWriter{Writer: redactingWriter{w}}}, nil
}

// SetLevel changes the level of a running logger.
func SetLevel(logger *log.Logger, level string) error {
	parsed, err := parseLevel(level)
	if err != nil {
		return err
	}
	logger.SetLevel(parsed)
	return nil
}

var levels = map[string]log.Level{
	"debug": log.DebugLevel, "info": log.InfoLevel, "warn": log.WarnLevel, "error": log.ErrorLevel,
}

func parseLevel(text string) (log.Level, error) {
	level, ok := levels[text]
	if !ok {
		return 0, errkind.New(errkind.InvalidArgument, "log level %q must be debug, info, warn or error", text)
	}
	return level, nil
}

// Fields are the identifiers that correlate log lines about the same work. Empty
// fields are omitted.
type Fields struct {
	Request   ident.Request
	Job       ident.Job
	Workspace ident.Workspace
	Epoch     ident.Epoch
}

// Add adds the fields to a log line. The line is nil when its level is disabled.
func (f Fields) Add(e *log.Entry) *log.Entry {
	if e == nil {
		return nil
	}
	if f.Request != "" {
		e = e.Str("request", string(f.Request))
	}
	if f.Job != "" {
		e = e.Str("job", string(f.Job))
	}
	if f.Workspace != "" {
		e = e.Str("workspace", string(f.Workspace))
	}
	if f.Epoch != 0 {
		e = e.Uint64("epoch", uint64(f.Epoch))
	}
	return e
}

var (
	secretPrefixes = [][]byte{[]byte("lw1."), []byte("s256:"), []byte("earer ")}
	secretPattern  = regexp.MustCompile(`lw1\.[^\s"\\]+|s256:[0-9a-fA-F:]+|([Bb]earer )[^\s"\\]+`)
)

// redactingWriter removes secrets, which error messages and header dumps may
// contain, from log lines.
type redactingWriter struct{ next io.Writer }

// Write implements io.Writer.
func (r redactingWriter) Write(line []byte) (int, error) {
	if _, err := r.next.Write(Redact(line)); err != nil {
		return 0, err
	}
	return len(line), nil
}

// Redact returns the text with bearer keys and key hashes removed.
func Redact(text []byte) []byte {
	for _, prefix := range secretPrefixes {
		if bytes.Contains(text, prefix) {
			return secretPattern.ReplaceAll(text, []byte("${1}[removed]"))
		}
	}
	return text
}
