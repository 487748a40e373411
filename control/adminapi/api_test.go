package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/config"
	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

const sheetHeader = "record,workspace,name,count,tasks,accelerators,locality,weight,priority,max_queue,role,key_hash\n"

// fakeBackend has one job in each workspace and records the changes made.
type fakeBackend struct {
	changes []string
}

func (b *fakeBackend) SubmitJob(_ context.Context, _ Actor, spec JobSpec) (Job, error) {
	b.changes = append(b.changes, "submit "+spec.Key)
	return Job{ID: "makati-a.1", JobSpec: spec, State: "queued"}, nil
}

func (b *fakeBackend) Jobs(context.Context, ident.Workspace) ([]Job, error) {
	return []Job{fakeJob("alpha"), fakeJob("beta")}, nil
}

func fakeJob(workspace ident.Workspace) Job {
	return Job{ID: ident.Job("job-" + workspace), JobSpec: JobSpec{Workspace: workspace, Caller: "worker"}}
}

func (b *fakeBackend) Job(_ context.Context, id ident.Job) (Job, error) {
	for _, w := range []ident.Workspace{"alpha", "beta"} {
		if j := fakeJob(w); j.ID == id {
			return j, nil
		}
	}
	return Job{}, errkind.New(errkind.NotFound, "job %q does not exist", id)
}

func (b *fakeBackend) ExplainJob(ctx context.Context, id ident.Job) (Explanation, error) {
	j, err := b.Job(ctx, id)
	return Explanation{Job: j, Reason: "wait_capacity"}, err
}

func (b *fakeBackend) CancelJob(ctx context.Context, _ Actor, id ident.Job) (Job, error) {
	b.changes = append(b.changes, "cancel "+string(id))
	return b.Job(ctx, id)
}

func (b *fakeBackend) Guarantees(context.Context) ([]Guarantee, error) {
	return []Guarantee{{Workspace: "alpha", Shape: "big"}, {Workspace: "beta", Shape: "big"}}, nil
}
func (b *fakeBackend) Workers(context.Context) ([]Worker, error) { return nil, nil }
func (b *fakeBackend) SetQuarantine(_ context.Context, _ Actor, w ident.Worker, quarantined bool) error {
	b.changes = append(b.changes, fmt.Sprintf("quarantine %s %v", w, quarantined))
	return nil
}
func (b *fakeBackend) Upstreams(context.Context) ([]Upstream, error) { return nil, nil }
func (b *fakeBackend) DrainUpstream(_ context.Context, _ Actor, u ident.Upstream) error {
	b.changes = append(b.changes, "drain "+string(u))
	return nil
}
func (b *fakeBackend) Partitions(context.Context) ([]Partition, error) { return nil, nil }
func (b *fakeBackend) Limits(context.Context) (sheet.Limits, error) {
	return sheet.Limits{Partitions: []ident.Partition{"p1"}}, nil
}
func (b *fakeBackend) Status(context.Context) (Status, error) { return Status{}, nil }

// fixture is an API with one applied sheet and an API key for each role.
type fixture struct {
	*testing.T
	handler http.Handler
	backend *fakeBackend
	store   *standin.Store
	tokens  map[string]string
	sheet   string
}

func newFixture(t *testing.T) *fixture {
	st := standin.NewStore()
	f := &fixture{T: t, store: st, backend: &fakeBackend{}, tokens: map[string]string{}}
	f.sheet = sheetHeader + "workspace,alpha,,,,,,1,1,,,\nworkspace,beta,,,,,,1,1,,,\nshape,alpha,big,1,1,1,rack,,,,,\nservice,alpha,plots,,,,,,,,,\nservice,beta,letters,,,,,,,,,\n"
	for _, caller := range []struct{ workspace, name, role string }{{"alpha", "worker", "caller"}, {"alpha", "boss", "owner"}, {"beta", "other", "owner"}, {"operator", "ops", "operator"}} {
		token, hash := apikey.New(ident.Workspace(caller.workspace), ident.Caller(caller.name))
		f.tokens[caller.name] = token
		f.sheet += fmt.Sprintf("caller,%s,%s,,,,,1,,,%s,%s\n", caller.workspace, caller.name, caller.role, hash)
	}
	token, hash := apikey.New("operator", "first")
	f.tokens["first"] = token
	store := config.NewStore(st.Table("e"), st.Objects("e"))
	follower := config.NewFollower(config.Options{Source: store})
	auth, err := NewAuthenticator(Settings{Operators: []OperatorKey{{"first", hash.String()}}}, func() *sheet.Sheet { return follower.Current().Sheet })
	if err != nil {
		t.Fatal(err)
	}
	api := New(Options{Backend: f.backend, Store: store, Follower: follower, Auth: auth, Auditor: NewAuditor(st.Table("e")), SetLogLevel: func(l string) error {
		if l != "debug" {
			return errkind.New(errkind.InvalidArgument, "unknown level")
		}
		return nil
	}})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	router := httprouter.New()
	api.Register(router)
	router.Handler(http.MethodGet, "/debug/pprof/", api.RequireOperator(http.NotFoundHandler()))
	f.handler = router
	s, err := sheet.Parse([]byte(f.sheet))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Apply(t.Context(), config.ApplyRequest{Sheet: s, Operator: "first", Now: time.Now()}); err != nil {
		t.Fatal(err)
	}
	go follower.Run(ctx)
	synctest.Wait()
	return f
}

func (f *fixture) call(method, path, caller, body string) (int, http.Header, string) {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if caller != "" {
		req.Header.Set("Authorization", "Bearer "+f.tokens[caller])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, req)
	raw, _ := io.ReadAll(w.Result().Body)
	return w.Code, w.Header(), string(raw)
}

func (f *fixture) countAuditRecords() int {
	rows, err := f.store.Table("audit").List(f.Context(), "audit/")
	if err != nil {
		f.Fatal(err)
	}
	return len(rows)
}

// bodyFor returns a valid request body for the operation at a path.
func (f *fixture) bodyFor(path string) string {
	switch {
	case path == "/v1/jobs":
		return `{"key":"j1","workspace":"alpha","service":"plots","tasks":2,"per_task":{"accelerators":8}}`
	case path == "/v1/log-level":
		return `{"level":"debug"}`
	case strings.HasPrefix(path, "/v1/config"):
		return strings.Replace(f.sheet, "workspace,beta,,,,,,1", "workspace,beta,,,,,,5", 1)
	}
	return ""
}

var exampleParams = strings.NewReplacer(":workspace", "alpha", ":job", "job-alpha", ":worker", "w1", ":upstream", "u1")

// Guards against an operation that a role can use without permission, an answer
// without outcome or request id, and a change without an audit record.
func TestRouteAccessByRole(t *testing.T) {
	for _, route := range Routes() {
		for _, caller := range []string{"", "forged", "worker", "boss", "ops", "first"} {
			synctest.Test(t, func(t *testing.T) { checkRoute(newFixture(t), route, caller) })
		}
	}
}

func checkRoute(f *fixture, route Route, caller string) {
	f.tokens["forged"] = f.tokens["ops"][:len(f.tokens["ops"])-4] + "AAAA"
	path := exampleParams.Replace(route.Path)
	if strings.HasSuffix(path, "/apply") {
		path += "?seen=1"
	}
	before := f.countAuditRecords()
	code, h, body := f.call(route.Method, path, caller, f.bodyFor(exampleParams.Replace(route.Path)))
	want := http.StatusOK
	switch {
	case caller == "" || caller == "forged":
		want = http.StatusUnauthorized
	case route.Access == OperatorOnly && caller != "ops" && caller != "first":
		want = http.StatusForbidden
	}
	name := fmt.Sprintf("%s %s as %q", route.Method, path, caller)
	if code != want {
		f.Errorf("%s: status %d, want %d: %s", name, code, want, body)
	}
	outcome := map[bool]string{true: "answered", false: "not_run"}[want == http.StatusOK]
	if h.Get(HeaderOutcome) != outcome || !strings.HasPrefix(h.Get(HeaderRequestID), "req-") {
		f.Errorf("%s: outcome %q, request id %q", name, h.Get(HeaderOutcome), h.Get(HeaderRequestID))
	}
	audited := f.countAuditRecords() > before
	if audited != (route.Changes && want == http.StatusOK) {
		f.Errorf("%s: audit record written: %v", name, audited)
	}
	if want != http.StatusOK && len(f.backend.changes) > 0 {
		f.Errorf("%s: changed %v", name, f.backend.changes)
	}
}

// Guards against a caller or owner that sees or changes another workspace.
func TestWorkspacesAreSeparate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given two workspaces", t, func() {
			f := newFixture(t)
			for _, path := range []string{"/v1/workspaces", "/v1/guarantees", "/v1/services", "/v1/jobs"} {
				for _, caller := range []string{"worker", "boss"} {
					code, _, body := f.call("GET", path, caller, "")
					So(code, ShouldEqual, 200)
					So(body, ShouldContainSubstring, "alpha")
					So(body, ShouldNotContainSubstring, "beta")
				}
				_, _, body := f.call("GET", path, "ops", "")
				So(body, ShouldContainSubstring, "beta")
			}
			for _, path := range []string{"/v1/workspaces/beta", "/v1/jobs/job-beta", "/v1/jobs/job-beta/explain"} {
				code, _, body := f.call("GET", path, "boss", "")
				So(code, ShouldEqual, 404)
				So(body, ShouldContainSubstring, `"kind":"not_found"`)
			}
			code, _, _ := f.call("GET", "/v1/jobs?workspace=beta", "boss", "")
			So(code, ShouldEqual, 403)
			code, _, _ = f.call("POST", "/v1/jobs", "other", f.bodyFor("/v1/jobs"))
			So(code, ShouldEqual, 403)
			code, _, _ = f.call("POST", "/v1/jobs/job-alpha/cancel", "other", "")
			So(code, ShouldEqual, 404)
			So(f.backend.changes, ShouldBeEmpty)
			code, _, body := f.call("GET", "/v1/workspaces/alpha", "worker", "")
			So(code, ShouldEqual, 200)
			So(body, ShouldNotContainSubstring, "s256")
			code, _, _ = f.call("GET", "/debug/pprof/", "boss", "")
			So(code, ShouldEqual, 403)
		})
	})
}

// Guards against errors without the documented body, problems without their line
// number, and an apply that overwrites a version that the operator has not seen.
func TestConfigurationEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given an applied sheet", t, func() {
			f := newFixture(t)
			code, h, body := f.call("POST", "/v1/config/check", "ops", sheetHeader+"workspace,alpha,,,,,,-1,,,,\nshape,beta,x,1,1,1,rack,,,,,\n")
			So(code, ShouldEqual, 400)
			So(h.Get(HeaderError), ShouldEqual, "invalid_argument")
			var answer ErrorBody
			So(json.Unmarshal([]byte(body), &answer), ShouldBeNil)
			So(len(answer.Error.Problems), ShouldEqual, 2)
			So(answer.Error.Problems[0].Line, ShouldEqual, 2)
			So(string(answer.Error.RequestID), ShouldEqual, h.Get(HeaderRequestID))

			next := f.bodyFor("/v1/config/apply")
			_, _, body = f.call("POST", "/v1/config/diff", "ops", next)
			So(body, ShouldContainSubstring, "~ workspace beta: weight 1 -\\u003e 5")
			code, _, _ = f.call("POST", "/v1/config/apply?seen=0", "ops", next)
			So(code, ShouldEqual, 409)
			code, _, _ = f.call("POST", "/v1/config/apply", "ops", next)
			So(code, ShouldEqual, 400)
			code, _, body = f.call("POST", "/v1/config/apply?seen=1", "ops", next)
			So(code, ShouldEqual, 200)
			So(body, ShouldContainSubstring, `"version":2`)
			_, _, body = f.call("GET", "/v1/config/history?limit=5", "ops", "")
			So(body, ShouldContainSubstring, `"operator":"ops"`)
			So(body, ShouldContainSubstring, `"operator":"first"`)
			code, h, _ = f.call("POST", "/v1/config/apply?seen=1", "ops", next)
			So(code, ShouldEqual, 409)
			So(h.Get(HeaderOutcome), ShouldEqual, "not_run")
			// The version conflict is reported even when the sheet is invalid too.
			code, _, _ = f.call("POST", "/v1/config/apply?seen=1", "ops", "broken")
			So(code, ShouldEqual, 409)
		})
	})
}

// Guards against accepting a malformed job, and against a job that is stored for the
// caller named in its body instead of the authenticated one.
func TestSubmitValidatesJobAndSetsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Malformed jobs are rejected with a list of every problem, and the caller is the authenticated one", t, func() {
			f := newFixture(t)
			code, _, body := f.call("POST", "/v1/jobs", "worker", `{"key":"a b","tasks":65,"per_task":{},"locality":"row","shape":"none"}`)
			So(code, ShouldEqual, 400)
			for _, want := range []string{"key:", "service:", "tasks:", "per_task:", "locality:", "shape:"} {
				So(body, ShouldContainSubstring, want)
			}
			for _, bad := range []string{"", "{", `{"unknown":1}`, `{} {}`, `{"key":"` + strings.Repeat("a", maxJSONBytes) + `"}`} {
				code, _, _ := f.call("POST", "/v1/jobs", "worker", bad)
				So(code, ShouldEqual, 400)
			}
			So(f.backend.changes, ShouldBeEmpty)
			code, _, body = f.call("POST", "/v1/jobs", "worker", `{"service":"plots","caller":"boss","tasks":1,"per_task":{"accelerators":1}}`)
			So(code, ShouldEqual, 200)
			So(body, ShouldContainSubstring, `"caller":"worker"`)
		})
	})
}

// Guards against audit records that are lost or written twice when the table is
// down.
func TestAuditRecordsWrittenAfterTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Records made during an outage are written once when the table is back", t, func() {
			f := newFixture(t)
			before := f.countAuditRecords()
			f.store.SetTableFaults("e", standin.Faults{Down: true})
			code, _, _ := f.call("POST", "/v1/workers/w1/quarantine", "ops", "")
			So(code, ShouldEqual, 200)
			So(f.countAuditRecords(), ShouldEqual, before)
			f.store.SetTableFaults("e", standin.Faults{LoseResponses: 1})
			f.call("POST", "/v1/workers/w1/release", "ops", "")
			f.call("POST", "/v1/workers/w2/release", "ops", "")
			So(f.countAuditRecords(), ShouldEqual, before+3)
		})
	})
}

// Guards against a body that crashes the decoder, and against accepting a job
// that is not valid.
func FuzzJobSpec(f *testing.F) {
	current, err := sheet.Parse([]byte(sheetHeader + "workspace,alpha,,,,,,1,1,,,\n"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(`{"key":"j1","workspace":"alpha","service":"plots","tasks":2,"per_task":{"accelerators":8}}`)
	f.Add(`{"tasks":-1}`)
	f.Fuzz(func(t *testing.T, text string) {
		var spec JobSpec
		if decodeJSON(strings.NewReader(text), &spec) != nil || spec.fillAndCheck(Actor{Workspace: "alpha", Caller: "c", Role: sheet.RoleCaller}, current) != nil {
			return
		}
		if spec.Workspace != "alpha" || spec.Caller != "c" || spec.Tasks < 1 || spec.Tasks > sheet.MaxTasks || !validKey(spec.Key) {
			t.Fatalf("accepted %+v", spec)
		}
	})
}
