package batchowner

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lacewingpier/lacewingpier/control/rpc"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// FuzzAgentMessage handles any message of an agent in an owner with a run in progress: what
// the owner would write stays valid.
func FuzzAgentMessage(f *testing.F) {
	run := batch.Run{Task: batch.TaskID{Job: "j1"}, Number: 1}
	report := batch.Report{Incarnation: testIncarnation, ClockMs: 5}
	odd := report
	odd.ClockMs = math.MaxInt64
	odd.Running = []batch.RunningTask{{Run: run, Percent: math.MaxInt32, Load: math.MinInt32}}
	odd.Ended = []batch.EndedTask{{Number: math.MinInt64, Run: run, Kind: "?"}, {Number: 1, Run: batch.Run{Task: batch.TaskID{Index: -1}}}}
	for _, m := range []*rpc.FromRunner{
		rpc.ReportMessage(report), rpc.ReportMessage(odd),
		{Kind: &rpc.FromRunner_Worker{Worker: &rpc.WorkerInfo{Info: []byte(`{"id":"w1","sv":"svc","c":{"a":4611686018427387904}}`)}}},
		{Kind: &rpc.FromRunner_Answer{Answer: &rpc.OrderAnswer{Sequence: 1, Kind: math.MaxUint32, ClockMs: math.MinInt64}}},
		{Kind: &rpc.FromRunner_Left{}},
		{Kind: &rpc.FromRunner_Report{Report: &rpc.WorkerReport{Running: []*rpc.RunningTask{nil, {}}, Ended: []*rpc.EndedTask{{}}}}},
	} {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := &rpc.FromRunner{}
		if proto.Unmarshal(raw, m) != nil {
			return
		}
		b := newLoopbed()
		defer b.cancel()
		b.submit("j1")
		now := time.Now()
		b.scheduler.Schedule(now)
		for _, order := range b.scheduler.ReleaseStarts(b.scheduler.Prepare(10, nil), now, now) {
			b.conn.sendOrder(order)
		}
		b.conn.handleMessage(m)
		b.report()
		for range 3 {
			now = now.Add(2 * time.Second)
			b.scheduler.Tick(now)
			b.scheduler.Schedule(now)
		}
		for id, record := range b.scheduler.Prepare(10, nil).Records {
			if err := record.Validate(); err != nil {
				t.Errorf("record of %s: %v", id, err)
			}
		}
	})
}
