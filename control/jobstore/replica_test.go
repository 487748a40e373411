package jobstore

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/batch"
)

// workerRow returns a row of a worker with the given address and description.
func workerRow(name, address, info string) rows.Row {
	return rows.Row{Key: WorkerKey(ident.Worker(name)), Version: 3, Value: fmt.Appendf(nil, `{"addr":%q,"info":%s}`, address, info)}
}

const validInfo = `{"id":"w1","sv":"s","l":{"u":"u","b":5},"c":{"c":64000,"m":1000,"a":8}}`

// oddWorkerInfos are descriptions that another writer may have left under the key of w1.
var oddWorkerInfos = map[string]string{
	"deeply nested":                strings.Repeat(`{"id":`, 20_000) + "1" + strings.Repeat("}", 20_000),
	"nested within the limit":      `{"id":"w1","x":` + strings.Repeat(`[`, 9_000) + strings.Repeat(`]`, 9_000) + `,"c":{"a":"many"}}`,
	"number beyond int64":          `{"id":"w1","c":{"c":1e300}}`,
	"capacity of 2^62":             `{"id":"w1","c":{"c":4611686018427387904}}`,
	"a billion accelerators":       `{"id":"w1","c":{"a":1000000000}}`,
	"negative memory":              `{"id":"w1","c":{"m":-1}}`,
	"start before 1970":            `{"id":"w1","l":{"b":-1}}`,
	"start after 2200":             `{"id":"w1","l":{"b":9223372036854775807}}`,
	"hundred thousand labels":      `{"id":"w1","lb":["x"` + strings.Repeat(`,"x"`, 100_000) + `]}`,
	"another worker's id":          `{"id":"w2","c":{"c":1}}`,
	"no id":                        `{}`,
	"another type":                 `[1,2,3]`,
	"null":                         `null`,
	"cut":                          validInfo[:len(validInfo)/2],
	"duplicate keys, the last bad": `{"id":"w1","id":7}`,
}

// Guards against one odd row among those of the workers or entries that ends the processes
// which read it, changes another worker, or costs the other rows of its page.
func TestOddRowCostsOnlyItself(t *testing.T) {
	apply := func(odd rows.Row) (*Replica, []string) {
		var unreadable []string
		r := NewReplica(func(key string, _ error) { unreadable = append(unreadable, key) })
		other := workerRow("w2", "10.0.0.2:7000", strings.Replace(validInfo, `"w1"`, `"w2"`, 1))
		r.Apply([]rows.Row{odd, other})
		So(r.Watch(func(Change) {}).Workers, ShouldContainKey, ident.Worker("w2"))
		So(r.workers["w2"].Info.Capacity.Accelerators, ShouldEqual, 8)
		return r, unreadable
	}
	Convey("A valid row is read", t, func() {
		r, unreadable := apply(workerRow("w1", "10.0.0.1:7000", validInfo))
		So(unreadable, ShouldBeEmpty)
		So(r.workers, ShouldHaveLength, 2)
	})
	for name, info := range oddWorkerInfos {
		Convey("A worker's row is ignored: "+name, t, func() {
			r, unreadable := apply(workerRow("w1", "10.0.0.1:7000", info))
			So(unreadable, ShouldResemble, []string{"w/w1"})
			So(r.workers, ShouldHaveLength, 1)
		})
	}
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1", "host:7000", ":7000"} {
		Convey("The address is no IP address and port: "+address, t, func() {
			r, unreadable := apply(workerRow("w1", address, validInfo))
			So(unreadable, ShouldHaveLength, 1)
			So(r.workers, ShouldHaveLength, 1)
			r, unreadable = apply(rows.Row{Key: EntryKey("e1"), Version: 3, Value: fmt.Appendf(nil, `{"addr":%q}`, address)})
			So(unreadable, ShouldHaveLength, 1)
			So(r.Peers("e2"), ShouldBeEmpty)
		})
	}
	Convey("A row that becomes odd keeps what it was before", t, func() {
		r, _ := apply(workerRow("w1", "10.0.0.1:7000", validInfo))
		odd := workerRow("w1", "10.0.0.1:70000", validInfo)
		odd.Version = 9
		r.Apply([]rows.Row{odd})
		So(r.workers["w1"].Address, ShouldEqual, "10.0.0.1:7000")
	})
}

// Guards against a job that runs again because its state could not be read, and against an
// owner that begins with an epoch that the workers have seen.
func TestUnreadableStateIsNotTakenForNone(t *testing.T) {
	Convey("A job without a readable state is not given to the scheduler", t, func() {
		r := NewReplica(func(string, error) {})
		r.Apply([]rows.Row{
			{Key: JobKey("j1"), Version: 1, Value: []byte(`{"id":"j1","st":[{"n":1,"r":{}}]}`)},
			{Key: StateKey("j1"), Version: 2, Value: []byte(`{"s":"running","t":[{"r":-5}]}`)},
			{Key: JobKey("j2"), Version: 1, Value: []byte(`{"id":"j2","st":[{"n":1,"r":{}}]}`)},
		})
		snapshot := r.Watch(func(Change) {})
		So(snapshot.Jobs, ShouldHaveLength, 1)
		So(snapshot.Jobs[0].Spec.ID, ShouldEqual, ident.Job("j2"))
		Convey("until it is readable again", func() {
			r.Apply([]rows.Row{{Key: StateKey("j1"), Version: 3, Value: []byte(`{"s":"running"}`)}})
			So(r.Watch(func(Change) {}).Jobs, ShouldHaveLength, 2)
		})
	})
	Convey("A state that becomes unreadable keeps the last one for callers", t, func() {
		r := NewReplica(func(string, error) {})
		r.Apply([]rows.Row{
			{Key: JobKey("j1"), Version: 1, Value: []byte(`{"id":"j1","st":[{"n":1,"r":{}}]}`)},
			{Key: StateKey("j1"), Version: 2, Value: []byte(`{"s":"completed"}`)},
			{Key: StateKey("j1"), Version: 3, Value: []byte(`{`)},
		})
		job, ok := r.Job("j1")
		So(ok, ShouldBeTrue)
		So(job.State(), ShouldEqual, batch.JobCompleted)
	})
	Convey("A job's row that names another job is ignored", t, func() {
		r := NewReplica(func(string, error) {})
		r.Apply([]rows.Row{{Key: JobKey("j1"), Version: 1, Value: []byte(`{"id":"j2","st":[{"n":1,"r":{}}]}`)}})
		So(r.Watch(func(Change) {}).Jobs, ShouldBeEmpty)
	})
	Convey("An unreadable owner's row keeps the last epoch, and can be replaced", t, func() {
		r := NewReplica(func(string, error) {})
		r.Apply([]rows.Row{
			{Key: OwnerKey, Version: 4, Value: []byte(`{"epoch":12,"entry":"e1","ends":{"w1":5},"open":{"w":{"w2":7}}}`)},
			{Key: OwnerKey, Version: 7, Value: []byte(`"odd"`)},
		})
		So(r.owner.Epoch, ShouldEqual, ident.Epoch(12))
		So(r.ownerVersion, ShouldEqual, rows.Version(7))
		So(r.owner.LeaseEnds, ShouldBeEmpty)
		So(r.owner.OpenStarts, ShouldBeNil)
	})
}

// FuzzRows applies any rows: none may end the process or lose the row beside it.
func FuzzRows(f *testing.F) {
	for _, info := range oddWorkerInfos {
		if len(info) < 10_000 {
			f.Add("w/w1", fmt.Appendf(nil, `{"addr":"10.0.0.1:70000","info":%s}`, info))
		}
	}
	f.Add("owner", []byte(`{"epoch":18446744073709551615}`))
	f.Add("e/e1", []byte(`{"addr":"[::1]:65536"}`))
	f.Add("j/j1", []byte(`{"id":"j1","rp":1152921504606846976,"st":[{"n":400}]}`))
	f.Add("s/j1", []byte(`{"t":[{"r":9223372036854775807,"p":255}]}`))
	f.Add("c/j1", []byte(nil))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := NewReplica(func(string, error) {})
		r.Watch(func(Change) {})
		r.Apply([]rows.Row{{Key: key, Version: 1, Value: value}, workerRow("w9", "10.0.0.9:7000", `{"id":"w9"}`)})
		for _, job := range r.Watch(func(Change) {}).Jobs {
			if job.Spec.Validate() != nil || job.Record.Validate() != nil {
				t.Errorf("an invalid job reaches the scheduler: %+v", job)
			}
		}
		if r.workers["w9"].Address == "" {
			t.Error("the row beside the odd one is missing")
		}
	})
}

// Guards against a row whose handling panics and that ends or stops the process which
// follows the table.
func TestRowThatPanicsCostsOnlyItself(t *testing.T) {
	Convey("The other rows are applied, and the replica can be used", t, func() {
		var unreadable []string
		r := NewReplica(func(key string, _ error) { unreadable = append(unreadable, key) })
		r.Watch(func(c Change) {
			if c.WorkerID == "w1" {
				panic("planted")
			}
		})
		r.Apply([]rows.Row{workerRow("w1", "10.0.0.1:7000", validInfo), workerRow("w2", "10.0.0.2:7000", `{"id":"w2"}`)})
		So(unreadable, ShouldResemble, []string{"w/w1"})
		So(r.workers, ShouldContainKey, ident.Worker("w2"))
	})
}
