package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/cmd/internal/client"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// startServer starts a server that returns the response or error set for each
// method and path, and records the calls.
func startServer(t *testing.T, answers map[string]any) (base string, calls *[]string) {
	calls = &[]string{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*calls = append(*calls, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("Authorization")+" "+string(body))
		switch answer := answers[r.Method+" "+r.URL.Path].(type) {
		case error:
			adminapi.WriteError(w, "req-1", answer)
		case string:
			w.Header().Set(adminapi.HeaderOutcome, "answered")
			_, _ = io.WriteString(w, answer)
		default:
			adminapi.WriteError(w, "req-1", errkind.New(errkind.NotFound, "no such path %s", r.URL.Path))
		}
	}))
	t.Cleanup(s.Close)
	return s.URL, calls
}

func ctl(t *testing.T, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = run(t.Context(), args, &stdout, &stderr, nil)
	return code, stdout.String(), stderr.String()
}

// Guards against an exit code that misleads a script about whether the operation
// took effect.
func TestExitCodes(t *testing.T) {
	want := map[errkind.Kind]int{
		errkind.InvalidArgument: client.ExitUsage, errkind.DoesNotFit: client.ExitUsage, errkind.Conflict: client.ExitConflict,
		errkind.StoreUnavailable: client.ExitRetry, errkind.NotReady: client.ExitRetry, errkind.NotFound: client.ExitRefused,
		errkind.PermissionDenied: client.ExitRefused, errkind.OutcomeUnknown: client.ExitUnknown, errkind.Internal: client.ExitFailure,
	}
	for kind, code := range want {
		base, _ := startServer(t, map[string]any{"POST /v1/jobs/j1/cancel": errkind.New(kind, "because")})
		got, _, errOut := ctl(t, "--server", base, "job", "cancel", "j1")
		if got != code || !strings.Contains(errOut, "because") {
			t.Errorf("%s: exit code %d, want %d: %s", kind, got, code, errOut)
		}
	}
	if code, _, _ := ctl(t, "--server", "http://127.0.0.1:1", "status"); code != client.ExitRetry {
		t.Errorf("an unreachable server gives exit code %d", code)
	}
	if code, _, _ := ctl(t, "job", "dance"); code != client.ExitUsage {
		t.Errorf("an unknown command gives exit code %d", code)
	}
}

// Guards against output that scripts cannot read, a key that is not sent, and
// a wait that ends early or reports a failed job as a success.
func TestCommandsAgainstServer(t *testing.T) {
	Convey("Given an entry", t, func() {
		base, calls := startServer(t, map[string]any{
			"GET /v1/jobs":    `{"jobs":[{"id":"a-long-job-name","workspace":"alpha","service":"plots","tasks":2,"per_task":{"accelerators":8},"locality":"rack","state":"queued","reason":"wait_capacity"},{"id":"b","state":"running"}]}`,
			"GET /v1/jobs/j1": `{"id":"j1","state":"failed"}`, "GET /v1/jobs/j2": `{"id":"j2","state":"succeeded"}`,
			"POST /v1/jobs":                `{"id":"j9","state":"queued"}`,
			"POST /v1/services/plots/draw": `answer body`,
			"POST /v1/config/apply":        errkind.New(errkind.Conflict, "version 42, applied by mia, is in force, the change is based on version 41"),
			"POST /v1/config/diff":         `{"version":41,"digest":"d","diff":["~ workspace alpha: weight 1 -> 3"]}`,
			"GET /v1/status":               `{"table_reachable":true,"processes":[{"kind":"entry","id":"e1","config_version":41,"stale":true}],"partitions":[{"id":"p1","owner":"e1","epoch":3}]}`,
			"GET /v1/guarantees":           `{"guarantees":[{"workspace":"alpha","shape":"big","held":1}]}`,
		})
		t.Setenv("LACEWING_KEY", "lw1.alpha.worker.secret")
		code, out, _ := ctl(t, "--server", base, "job", "list")
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "JOB              WORKSPACE  SERVICE  GANG      PARTITION  STATE    ATTEMPT  REASON\n")
		So(out, ShouldContainSubstring, "a-long-job-name  alpha      plots    2x8/rack             queued   0        wait_capacity\n")
		So((*calls)[0], ShouldContainSubstring, "Bearer lw1.alpha.worker.secret")
		_, out, _ = ctl(t, "--server", base, "-o", "json", "job", "list", "--state", "running")
		So(out, ShouldContainSubstring, `"id": "b"`)
		So(out, ShouldNotContainSubstring, "a-long-job-name")
		code, _, _ = ctl(t, "--server", base, "job", "wait", "j1")
		So(code, ShouldEqual, client.ExitCheckFailed)
		code, _, _ = ctl(t, "--server", base, "job", "wait", "j2")
		So(code, ShouldEqual, 0)
		code, out, _ = ctl(t, "--server", base, "submit", "plots", "--tasks", "4", "--run-time", "2s")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "j9")
		So((*calls)[len(*calls)-1], ShouldContainSubstring, `"key":"ctl-`)
		So((*calls)[len(*calls)-1], ShouldContainSubstring, `"tasks":4`)
		code, out, errOut := ctl(t, "--server", base, "request", "plots", "/draw", "--data", "x")
		So([]any{code, out}, ShouldResemble, []any{0, "answer body"})
		So(errOut, ShouldContainSubstring, "outcome answered")
		file := filepath.Join(t.TempDir(), "s.csv")
		So(os.WriteFile(file, []byte("record\n"), 0o600), ShouldBeNil)
		code, _, errOut = ctl(t, "--server", base, "sheet", "apply", file, "--seen", "41")
		So(code, ShouldEqual, client.ExitConflict)
		So(errOut, ShouldContainSubstring, "version 42, applied by mia")
		_, out, _ = ctl(t, "--server", base, "sheet", "diff", file)
		So(out, ShouldContainSubstring, "weight 1 -> 3\n1 changes to version 41; apply with --seen 41")
		code, _, errOut = ctl(t, "sheet", "check", "--offline", file)
		So(code, ShouldEqual, client.ExitUsage)
		So(errOut, ShouldContainSubstring, "  1:1: workspace: the column is missing from the header")
		_, out, _ = ctl(t, "--server", base, "status")
		So(out, ShouldContainSubstring, "stale")
		page := filepath.Join(t.TempDir(), "r.html")
		code, _, errOut = ctl(t, "--server", base, "report", "--live", "--out", page)
		So([]any{code, errOut}, ShouldResemble, []any{0, ""})
		code, _, errOut = ctl(t, "--server", "http://192.0.2.1:80", "load", "plots")
		So(code, ShouldEqual, client.ExitUsage)
		So(errOut, ShouldContainSubstring, "loopback")
	})
}

// Guards against help without examples and completion that is not valid shell
// or misses commands.
func TestHelpAndCompletion(t *testing.T) {
	Convey("Help shows examples", t, func() {
		for _, command := range []string{"submit", "request", "sheet apply", "load", "report"} {
			code, out, _ := ctl(t, append(strings.Fields(command), "--help")...)
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, "Example")
		}
	})
	bash, err := exec.LookPath("bash")
	if err != nil {
		t.Fatal(err)
	}
	_, script, _ := ctl(t, "completion", "bash")
	for words, want := range map[string]string{"": "sheet", "sheet": "history", "worker": "quarantine", "job list": "--workspace"} {
		fields := strings.Fields(words)
		bashScript := fmt.Sprintf("%s\nCOMP_WORDS=(lacewingctl %s '')\nCOMP_CWORD=%d\n_lacewingctl\nprintf '%%s\\n' \"${COMPREPLY[@]}\"\n", script, words, len(fields)+1)
		out, err := exec.Command(bash, "--norc", "-c", bashScript).CombinedOutput()
		if err != nil || !strings.Contains("\n"+string(out), "\n"+want+"\n") {
			t.Errorf("after %q: %q is missing: %v\n%s", words, want, err, out)
		}
	}
}

// Guards against examples that the daemons and entries would refuse.
func TestExamplesAreValid(t *testing.T) {
	examples := filepath.Join("..", "..", "examples")
	for _, args := range [][]string{
		{"settings", "check", "entry", filepath.Join(examples, "entry.json")},
		{"settings", "check", "agent", filepath.Join(examples, "agent.json")},
		{"sheet", "check", "--offline", filepath.Join(examples, "morning.csv")},
	} {
		if code, _, errOut := ctl(t, args...); code != 0 {
			t.Errorf("%v: %s", args, errOut)
		}
	}
}
