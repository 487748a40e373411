package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/lacewingpier/lacewingpier/cmd/internal/load"
	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/control/entry"
	"github.com/lacewingpier/lacewingpier/control/partition"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/infra"
	"github.com/lacewingpier/lacewingpier/infra/standin"
)

const entryHost = "127.0.0.1"

// liveSystem is one entry with one upstream and two workers in memory.
type liveSystem struct {
	*testing.T
	network   *standin.Network
	keys      map[string]string
	dir       string
	stopFuncs []func()
}

func (s *liveSystem) runInBackground(process func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process(ctx) }()
	s.stopFuncs = append(s.stopFuncs, func() {
		cancel()
		if err := <-done; err != nil {
			s.Error(err)
		}
	})
}

func startLiveSystem(t *testing.T) *liveSystem {
	s := &liveSystem{T: t, network: standin.NewNetwork(), keys: map[string]string{}, dir: t.TempDir()}
	store, fleet := standin.NewStore(), standin.NewFleet()
	for i := range 2 {
		fleet.Add(infra.WorkerInfo{ID: ident.Worker(fmt.Sprintf("w%d", i)), Rack: "r1", Zone: "makati-a", Region: "makati",
			Capacity: infra.Resources{Accelerators: 8, Cores: 64, MemoryMB: 128 << 10}})
	}
	operator, hash := apikey.New("operator", "planner")
	s.keys["planner"] = operator
	host, logger := s.network.Host(entryHost), &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: t.Output()}}
	settings := entry.Settings{ID: "entry-1", Zone: "makati-a", Region: "makati", HTTPAddr: entryHost + ":7000", GRPCAddr: entryHost + ":7001", PlatformAddr: entryHost + ":7100",
		Partitions: []partition.Spec{{ID: "makati-a", Zone: "makati-a", Region: "makati"}}, Admin: adminapi.Settings{Operators: []adminapi.OperatorKey{{Name: "planner", KeyHash: hash.String()}}}}
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	e, err := entry.New(settings, host, entry.Platform{Table: store.Table("e"), Objects: store.Objects("e"), Workers: fleet.Client("e")}, logger)
	if err != nil {
		t.Fatal(err)
	}
	s.runInBackground(e.Run)
	s.startUpstream(logger)
	time.Sleep(10 * time.Second)
	return s
}

func (s *liveSystem) startUpstream(logger *log.Logger) {
	host := s.network.Host("10.0.0.2")
	listener, err := host.Listen("10.0.0.2:8000")
	if err != nil {
		s.Fatal(err)
	}
	server := &http.Server{Handler: standin.NewUpstream(5 * time.Millisecond)}
	go func() { _ = server.Serve(listener) }()
	settings := agent.Settings{Zone: "makati-a", Region: "makati", GRPCAddr: "10.0.0.2:7201", AnnounceAddr: "10.0.0.2:7202", Entries: []string{entryHost + ":7001"}}
	if err := settings.Validate(); err != nil {
		s.Fatal(err)
	}
	s.runInBackground(agent.New(settings, host, logger).Run)
	s.runInBackground(func(ctx context.Context) error {
		standin.AnnounceVia(ctx, host.Dial, "10.0.0.2:7202", standin.Announcement{Upstream: "search-1", Service: "search", Addr: "10.0.0.2:8000", Slots: 8, Connections: 64})
		return nil
	})
	s.stopFuncs = append(s.stopFuncs, func() { _ = server.Close() })
}

// stop stops all components in reverse order of their start.
func (s *liveSystem) stop() {
	for i := len(s.stopFuncs) - 1; i >= 0; i-- {
		s.stopFuncs[i]()
	}
}

func (s *liveSystem) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.Fatal(err)
	}
	return path
}

// ctl runs a command with the named key and checks its exit code.
func (s *liveSystem) ctl(keyName string, wantCode int, args ...string) string {
	s.Helper()
	var out, errOut bytes.Buffer
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		return s.network.Host(entryHost).Dial(ctx, addr)
	}
	args = append([]string{"--key-file", s.writeFile(keyName, s.keys[keyName]), "--server", "http://" + entryHost + ":7000"}, args...)
	if code := run(context.Background(), args, &out, &errOut, dial); code != wantCode {
		s.Errorf("%s %v: exit code %d, want %d: %s%s", keyName, args[4:], code, wantCode, out.String(), errOut.String())
	}
	return out.String() + errOut.String()
}

func (s *liveSystem) requireContains(text string, wants ...string) {
	s.Helper()
	for _, want := range wants {
		if !strings.Contains(text, want) {
			s.Errorf("%q is missing from:\n%s", want, text)
		}
	}
}

var metricNames = regexp.MustCompile(`lacewing_[a-z_]+`)

// checkMetrics requires every metric that the operating page names. Counters of
// events that have not happened are not exported yet.
func (s *liveSystem) checkMetrics() {
	page, err := os.ReadFile("../../docs/operating.md")
	if err != nil {
		s.Fatal(err)
	}
	httpClient := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return s.network.Host(entryHost).Dial(ctx, addr)
	}}}
	resp, err := httpClient.Get("http://" + entryHost + ":7000/metrics")
	if err != nil {
		s.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.Fatal(err)
	}
	names := metricNames.FindAllString(string(page), -1)
	if len(names) < 4 {
		s.Errorf("only %d metrics are named", len(names))
	}
	s.requireContains(string(text), names...)
	s.requireContains(string(text), `lacewing_config_version{id="entry-1",process="entry",region="makati",zone="makati-a"} 1`)
}

// Guards against a command-line client, HTTP API and entry that do not work
// together: an operator and a caller run commands against one entry.
func TestCommandsOnLiveSystem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startLiveSystem(t)
		defer s.stop()
		token, hash := apikey.New("alpha", "web")
		s.keys["web"] = token
		text := "record,workspace,name,count,tasks,accelerators,locality,weight,priority,max_queue,role,key_hash\nworkspace,alpha,,,,,,1,1,50,,\n" +
			"shape,alpha,big,1,2,4,rack,,,,,\nservice,alpha,search,,,,,,,,,\ncaller,alpha,web,,,,,1,,,caller," + hash.String() + "\n"
		sheet, oversized := s.writeFile("s.csv", text), s.writeFile("full.csv", strings.Replace(text, "big,1,2,4", "big,3,2,8", 1))
		s.requireContains(s.ctl("planner", 2, "sheet", "check", oversized), "shape alpha/big", "3:13")
		s.requireContains(s.ctl("planner", 0, "sheet", "check", sheet), "apply with --seen 0")
		s.requireContains(s.ctl("planner", 0, "sheet", "apply", sheet, "--seen", "0"), "version 1 is in force")
		s.requireContains(s.ctl("planner", 5, "sheet", "apply", sheet, "--seen", "0"), "version 1, applied by planner")
		time.Sleep(5 * time.Second)
		s.requireContains(s.ctl("planner", 0, "status"), "entry-1", "search-1", "owner entry-1", "2 workers")
		s.ctl("web", 4, "status")
		s.requireContains(s.ctl("web", 0, "request", "search", "/q", "--data", "hello"), "hello", "outcome answered")
		s.requireContains(s.ctl("web", 0, "workspace", "show", "alpha"), "big", "makati-a")

		var job adminapi.Job
		out := s.ctl("web", 0, "-o", "json", "submit", "search", "--tasks", "2", "--accelerators", "4", "--locality", "rack", "--shape", "big", "--run-time", "3s", "--key", "k1")
		if err := json.Unmarshal([]byte(out), &job); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		s.requireContains(s.ctl("web", 0, "submit", "search", "--tasks", "2", "--accelerators", "4", "--locality", "rack", "--shape", "big", "--run-time", "3s", "--key", "k1"), string(job.ID))
		s.requireContains(s.ctl("web", 0, "job", "wait", string(job.ID), "--timeout", "1m"), "succeeded")
		s.ctl("web", 2, "submit", "search", "--shape", "none")
		s.ctl("planner", 0, "worker", "quarantine", "w1")
		s.requireContains(s.ctl("planner", 0, "worker", "list"), "quarantined")
		s.ctl("planner", 0, "worker", "release", "w1")

		out = s.ctl("web", 0, "-o", "json", "load", "search", "--requests", "300", "--rate", "100", "--jobs", "5")
		var result load.Result
		if err := json.Unmarshal([]byte(out), &result); err != nil || result.Answered < 300 || result.JobsAccepted != 5 {
			t.Errorf("load: %v: %s", err, out)
		}
		s.ctl("planner", 0, "report", "--live", "--out", filepath.Join(s.dir, "r.html"))
		s.checkMetrics()
		s.ctl("planner", 0, "upstream", "drain", "search-1")
		time.Sleep(3 * time.Second)
		s.requireContains(s.ctl("planner", 0, "upstream", "list"), "draining")
	})
}
