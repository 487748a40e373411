package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// testBacklog returns a backlog of one pool with the given work ahead by priority.
func testBacklog(ahead ...time.Duration) *Backlog {
	b := &Backlog{Capacity: Amount{Accelerators: 100}}
	b.AddPool("svc", "", [Priorities]time.Duration(ahead), [Priorities]float64{1, 1, 1})
	return b
}

func testJob(priority int, objective, path time.Duration) *Job {
	return &Job{Service: "svc", Priority: priority, Objective: objective, Starts: []Start{{Path: path}}}
}

// Guards against a job that is refused although it could still be of value, and against one that
// is accepted although it can't.
func TestRefusesOnlyJobsWithoutValue(t *testing.T) {
	const objective, path = 10 * time.Second, 4 * time.Second
	limit := ValueObjectives*objective - path
	full := testBacklog(0, durationError*limit, durationError*limit+time.Millisecond)
	Convey("The optimistic wait decides, by the work of the same and more urgent priorities", t, func() {
		for priority, accepted := range []bool{true, true, false} {
			So(Decide(testJob(priority, objective, path), full, 0).Accepted, ShouldEqual, accepted)
		}
		refusal := Decide(testJob(9, objective, path), full, 0)
		So(refusal.Reason, ShouldEqual, ReasonNoValueLeft)
		So(refusal.Limit, ShouldEqual, limit)
		So(refusal.Wait, ShouldEqual, limit+time.Millisecond/durationError)
	})
	Convey("What is not known counts for the job", t, func() {
		far := testBacklog(time.Hour, time.Hour, time.Hour)
		job := testJob(2, objective, path)
		So(Decide(job, far, MaxAge).Accepted, ShouldBeFalse)
		So(Decide(job, far, MaxAge+1).Reason, ShouldEqual, ReasonOldFigures)
		So(Decide(job, nil, 0).Reason, ShouldEqual, ReasonNoFigures)
		So(Decide(testJob(2, 0, 0), far, 0).Reason, ShouldEqual, ReasonNoDeadline)
		So(Decide(testJob(2, objective, 0), far, 0).Reason, ShouldEqual, ReasonNoEstimate)
		job.Service = "other"
		So(Decide(job, far, 0).Reason, ShouldEqual, ReasonNoFigures)
		job.Service, job.Starts[0].Label = "svc", "rare"
		So(Decide(job, far, 0).Reason, ShouldEqual, ReasonNoFigures)
	})
	Convey("One step that would start too late is enough", t, func() {
		b := testBacklog(time.Minute, time.Minute, time.Minute)
		b.AddPool("svc", "rare", [Priorities]time.Duration{time.Hour, time.Hour, time.Hour}, [Priorities]float64{})
		job := testJob(0, time.Minute, path)
		So(Decide(job, b, 0).Accepted, ShouldBeTrue)
		job.Starts = append(job.Starts, Start{Label: "rare", Path: path})
		So(Decide(job, b, 0).Accepted, ShouldBeFalse)
	})
}

// Guards against a time to come back that does not follow from how fast the queue drains.
func TestTimeToComeBackFollowsDrainRate(t *testing.T) {
	job := testJob(2, 10*time.Second, 4*time.Second) // accepted up to 52 s of work ahead
	at := func(ahead time.Duration, drain ...float64) time.Duration {
		b := &Backlog{}
		b.AddPool("svc", "", [Priorities]time.Duration{0, 0, ahead}, [Priorities]float64(drain))
		return Decide(job, b, 0).RetryAfter
	}
	Convey("It is when the queue is short enough", t, func() {
		So(at(72*time.Second, 0, 0, 1), ShouldEqual, 20*time.Second)
		So(at(72*time.Second, 0, 0, 2), ShouldEqual, 10*time.Second)
		So(at(72*time.Second, 0, 0, 0.5), ShouldEqual, 40*time.Second)
	})
	Convey("It is bounded, also behind an outage", t, func() {
		So(at(52*time.Second+2*time.Millisecond, 0, 0, 1), ShouldEqual, minRetry)
		So(at(time.Hour, 0, 0, 1), ShouldEqual, maxRetry)
		So(at(55*time.Second, 0, 0, 0), ShouldEqual, 30*time.Second)
	})
}

// Guards against work that is worth more and may return later than work that is worth less, and
// against one that is refused where the other is accepted.
func TestUrgentWorkReturnsEarlier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads [Priorities]Load
		amount := func(name string) Amount {
			return Amount{Accelerators: rapid.Float64Range(0, 1e5).Draw(t, name), Cores: rapid.Float64Range(0, 1e5).Draw(t, name)}
		}
		var drain [Priorities]float64
		for p := range loads {
			loads[p] = Load{Running: amount("running"), OnTime: amount("on time"), Late: amount("late")}
			drain[p] = rapid.Float64Range(0, 3).Draw(t, "drain")
		}
		b := &Backlog{}
		b.AddPool("svc", "", Ahead(Amount{Accelerators: 100, Cores: 200}, &loads), drain)
		path := time.Duration(rapid.Int64Range(1, 30_000).Draw(t, "path")) * time.Millisecond
		objective := path + time.Duration(rapid.Int64Range(0, 60_000).Draw(t, "slack"))*time.Millisecond
		before := Decision{Accepted: true}
		for p := range Priorities {
			d := Decide(testJob(p, objective, path), b, 0)
			if d.Accepted && !before.Accepted {
				t.Fatalf("priority %d is accepted, a more urgent one is not", p)
			}
			if d.RetryAfter < before.RetryAfter {
				t.Fatalf("priority %d may return after %s, a more urgent one after %s", p, d.RetryAfter, before.RetryAfter)
			}
			before = d
		}
	})
}

// Guards against work that counts for jobs that it does not hold up.
func TestOnlyWorkAheadCounts(t *testing.T) {
	work := func(seconds float64) Amount { return Amount{Accelerators: 10 * seconds} }
	capacity := Amount{Accelerators: 10, Cores: 100}
	loads := [Priorities]Load{
		{Running: work(1), OnTime: work(2), Late: work(4)},
		{Running: work(10), OnTime: work(20), Late: work(40)},
		{Running: work(100), OnTime: work(200), Late: work(400)},
	}
	Convey("Late work counts for other priorities, and for the last one", t, func() {
		So(Ahead(capacity, &loads), ShouldResemble, [Priorities]time.Duration{3 * time.Second, 37 * time.Second, 777 * time.Second})
	})
	Convey("What the capacity has least of decides", t, func() {
		loads[0].Running.Cores = 5000
		So(Ahead(capacity, &loads)[0], ShouldEqual, 50*time.Second)
	})
}

// Guards against a row of the owner that grows with the deployment, and against one that changes
// with every transaction.
func TestPublishedBacklogIsSmall(t *testing.T) {
	Convey("Pools with the least work are left out", t, func() {
		b := &Backlog{Capacity: Amount{Accelerators: 123456}}
		for s := range 40 {
			service := ident.Service(fmt.Sprintf("%s-%d", strings.Repeat("s", 30), s))
			ahead := time.Duration(s+2) * time.Minute
			b.AddPool(service, "a", [Priorities]time.Duration{ahead, ahead, ahead}, [Priorities]float64{0.123, 0.456, 99})
			b.Services[service].Queues = map[string]int64{strings.Repeat("q", 40): 123456}
		}
		raw, err := b.Encode()
		So(err, ShouldBeNil)
		So(len(raw), ShouldBeBetweenOrEqual, MaxBytes/2, MaxBytes)
		decoded, err := Decode(raw)
		So(err, ShouldBeNil)
		So(decoded.Services, ShouldContainKey, ident.Service(strings.Repeat("s", 30)+"-39"))
		So(decoded.Services, ShouldNotContainKey, ident.Service(strings.Repeat("s", 30)+"-0"))
		So(decoded.ChangedFrom(b), ShouldBeFalse)
	})
	Convey("A single pool that does not fit is left out", t, func() {
		b := &Backlog{}
		b.AddPool(ident.Service(strings.Repeat("s", 2*MaxBytes)), "", [Priorities]time.Duration{0, 0, time.Hour}, [Priorities]float64{})
		raw, err := b.Encode()
		So(err, ShouldBeNil)
		So(raw, ShouldBeNil)
	})
	Convey("Little work is not published", t, func() {
		b := testBacklog(0, 0, minAhead-1)
		raw, err := b.Encode()
		So(err, ShouldBeNil)
		So(raw, ShouldBeNil)
		So(b.ChangedFrom(nil), ShouldBeFalse)
		So(b.ChangedFrom(testBacklog(0, 0, time.Minute)), ShouldBeTrue)
	})
	Convey("It is changed when a figure differs by more than a tenth", t, func() {
		before := testBacklog(0, 10*time.Second, 100*time.Second)
		So(testBacklog(0, 10*time.Second, 109*time.Second).ChangedFrom(before), ShouldBeFalse)
		So(testBacklog(0, 10*time.Second, 112*time.Second).ChangedFrom(before), ShouldBeTrue)
		So(testBacklog(50*time.Millisecond, 10*time.Second, 100*time.Second).ChangedFrom(before), ShouldBeFalse)
		So(testBacklog(150*time.Millisecond, 10*time.Second, 100*time.Second).ChangedFrom(before), ShouldBeTrue)
		So(before.ChangedFrom(nil), ShouldBeTrue)
		other := testBacklog(0, 10*time.Second, 100*time.Second)
		other.Services["svc"].Queues = map[string]int64{"q": 1000}
		So(other.ChangedFrom(before), ShouldBeTrue)
	})
}

// Guards against figures that can't be true, from another version or a fault, by which jobs are
// refused.
func TestOddFiguresAreNotUsed(t *testing.T) {
	for name, raw := range map[string]string{
		"no object":         `[1]`,
		"cut":               `{"s":{"svc":{"p":{"":{"a":[1,2`,
		"text":              `{"s":{"svc":{"p":{"":{"a":["1",2,3],"d":[1,1,1]}}}}}`,
		"negative":          `{"s":{"svc":{"p":{"":{"a":[0,0,-1],"d":[1,1,1]}}}}}`,
		"beyond reason":     `{"s":{"svc":{"p":{"":{"a":[0,0,9223372036854775807],"d":[1,1,1]}}}}}`,
		"drain rate":        `{"s":{"svc":{"p":{"":{"a":[0,0,1],"d":[1,1,-5]}}}}}`,
		"null":              `{"s":{"svc":null}}`,
		"duration":          `{"s":{"svc":{"q":{"q":-1},"p":{}}}}`,
		"negative capacity": `{"c":{"a":-1}}`,
		"too long":          `{"x":"` + strings.Repeat("x", MaxBytes) + `"}`,
	} {
		Convey("They are corrupt: "+name, t, func() {
			_, err := Decode([]byte(raw))
			So(errkind.Of(err), ShouldEqual, errkind.Corrupt)
		})
	}
	Convey("None are none", t, func() {
		b, err := Decode(nil)
		So(err, ShouldBeNil)
		So(b, ShouldBeNil)
		So(b.LongestAhead(0), ShouldEqual, 0)
		So(b.MeanDuration("svc", "q"), ShouldEqual, 0)
	})
	Convey("Figures that are missing or too many do not end the process", t, func() {
		b, err := Decode([]byte(`{"s":{"svc":{"p":{"":{"a":[1],"d":[1,2,3,4,5]}}}}}`))
		So(err, ShouldBeNil)
		So(Decide(testJob(2, time.Second, time.Second), b, 0).Accepted, ShouldBeTrue)
	})
}
