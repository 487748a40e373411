package jobstore

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/rows"
	"github.com/lacewingpier/lacewingpier/sched/admission"
)

const testFigures = `{"c":{},"s":{"svc":{"p":{"":{"a":[1000,2000,3000],"d":[1,1,1]}}}}}`

// ownerRow returns a row of the owner with the given backlog.
func ownerRow(version rows.Version, backlog string) rows.Row {
	value := fmt.Appendf(nil, `{"epoch":7,"entry":"e1","seq":%d,"load":%s}`, version, backlog)
	if backlog == "" {
		value = fmt.Appendf(nil, `{"epoch":7,"entry":"e1","seq":%d}`, version)
	}
	return rows.Row{Key: OwnerKey, Version: version, Value: value}
}

// Guards against an entry that takes old figures for new ones, on whatever way they reach it.
func TestAgeOfBacklogIsNotUnderstated(t *testing.T) {
	newFollowing := func() *Replica {
		r := NewReplica(func(string, error) {})
		r.SetConnected(true)
		r.Replace([]rows.Row{ownerRow(1, testFigures)}, 1)
		return r
	}
	age := func(r *Replica) time.Duration {
		backlog, age := r.Backlog(time.Now())
		So(backlog.LongestAhead(2), ShouldEqual, 3*time.Second)
		return age
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("A row that was there at the start may be of any age", t, func() {
			So(age(newFollowing()), ShouldBeGreaterThan, admission.MaxAge)
		})
		Convey("One that arrives with the watch was written since the changes before it", t, func() {
			r := newFollowing()
			time.Sleep(700 * time.Millisecond)
			r.Advance([]rows.Row{ownerRow(2, testFigures)}, 2)
			So(age(r), ShouldEqual, 700*time.Millisecond)
			time.Sleep(800 * time.Millisecond)
			So(age(r), ShouldEqual, 1500*time.Millisecond)
			r.Advance(nil, 3)
			So(age(r), ShouldEqual, 1500*time.Millisecond)
			r.Advance([]rows.Row{ownerRow(4, testFigures)}, 4)
			So(age(r), ShouldEqual, 0)
		})
		Convey("One that arrives after an outage may have been written during it", t, func() {
			r := newFollowing()
			r.Advance([]rows.Row{ownerRow(2, testFigures)}, 2)
			r.SetConnected(false)
			time.Sleep(10 * time.Second)
			backlog, _ := r.Backlog(time.Now())
			So(backlog, ShouldBeNil)
			r.SetConnected(true)
			So(age(r), ShouldEqual, 10*time.Second)
			r.Advance([]rows.Row{ownerRow(3, testFigures)}, 3)
			So(age(r), ShouldEqual, 10*time.Second)
			r.Advance([]rows.Row{ownerRow(4, testFigures)}, 4)
			So(age(r), ShouldEqual, 0)
		})
	})
}

// Guards against figures that outlive their owner's word, and against ones that can't be read and
// cost the ownership.
func TestBacklogOfLatestRowOnly(t *testing.T) {
	newWith := func(next rows.Row) (*Replica, []string) {
		var unreadable []string
		r := NewReplica(func(key string, _ error) { unreadable = append(unreadable, key) })
		r.SetConnected(true)
		r.Replace(nil, 1)
		r.Advance([]rows.Row{ownerRow(2, testFigures)}, 2)
		backlog, _ := r.Backlog(time.Now())
		So(backlog, ShouldNotBeNil)
		r.Advance([]rows.Row{next}, 3)
		backlog, _ = r.Backlog(time.Now())
		So(backlog, ShouldBeNil)
		So(r.Owner(time.Now()).Owner.Epoch, ShouldEqual, 7)
		return r, unreadable
	}
	Convey("A row without a backlog, of an older version or a new owner, has none", t, func() {
		_, unreadable := newWith(ownerRow(3, ""))
		So(unreadable, ShouldBeEmpty)
	})
	Convey("An owner that releases the ownership no longer vouches for it", t, func() {
		released := ownerRow(3, testFigures)
		released.Value = append(released.Value[:len(released.Value)-1], `,"vacant":true}`...)
		newWith(released)
	})
	for name, backlog := range map[string]string{
		"another type": `"x"`, "negative": `{"s":{"svc":{"p":{"":{"a":[-1]}}}}}`, "null pool": `{"s":{"svc":null}}`,
	} {
		Convey("An unreadable one leaves the rest of the row: "+name, t, func() {
			r, unreadable := newWith(ownerRow(3, backlog))
			So(unreadable, ShouldResemble, []string{OwnerKey})
			So(r.Owner(time.Now()).Owner.Sequence, ShouldEqual, 3)
			r.Advance([]rows.Row{ownerRow(4, testFigures)}, 4)
			restored, _ := r.Backlog(time.Now())
			So(restored, ShouldNotBeNil)
		})
	}
	Convey("An unreadable row has none", t, func() {
		newWith(rows.Row{Key: OwnerKey, Version: 3, Value: []byte(`{"epoch":`)})
	})
}
