package configsync_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a watch that resumes at an old version and never catches up,
// because the store returns all versions since.
func TestReturningEntryCatchesUpWithConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An entry that the store serves again has the newest configuration in time", t, func() {
			d := newDeployment(t, 1)
			defer d.close()
			time.Sleep(2 * time.Second)
			d.refuse(0, 1)
			for range 8 {
				d.write(1400)
				time.Sleep(1300 * time.Millisecond)
			}
			d.refuse(0, 0)
			time.Sleep(applyTimeout)
			So(d.entries[0].config.Current().Version, ShouldEqual, d.version)
		})
	})
}

// Guards against large configurations that reach refused entries late, because the
// other entries are queried one after the other and each sends the whole body.
func TestRefusedEntriesGetLargeConfigurationsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Each version is in force everywhere in time while the store refuses four of eleven entries", t, func() {
			d := newDeployment(t, 11)
			defer d.close()
			time.Sleep(2 * time.Second)
			d.publish(1400)
			time.Sleep(time.Second)
			d.refuse(0, 4)
			for range 8 {
				d.publish(1400)
				time.Sleep(1300 * time.Millisecond)
			}
			So(d.lateVersions(), ShouldBeEmpty)
		})
	})
}

// Guards against a watch that falls behind further with each version, because the store
// returns every version since the last one and transfers take longer than the changes.
func TestLargeConfigurationsInQuickSuccession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Each version is in force everywhere in time while one comes each 100 ms for five seconds", t, func() {
			d := newDeployment(t, 3)
			defer d.close()
			time.Sleep(2 * time.Second)
			for range 50 {
				d.publish(1400)
				time.Sleep(100 * time.Millisecond)
			}
			So(d.lateVersions(), ShouldBeEmpty)
		})
	})
}

// Guards against a response with so many whole versions that the newest one is late.
func TestBurstOfLargeConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Twelve versions of 453 KB within half a second are in force in time", t, func() {
			d := newDeployment(t, 3)
			defer d.close()
			for _, e := range d.entries {
				e.store.setPatient()
			}
			d.write(2140)
			time.Sleep(5 * time.Second)
			for range 12 {
				d.publish(2140)
				time.Sleep(40 * time.Millisecond)
			}
			So(d.lateVersions(), ShouldBeEmpty)
		})
	})
}

// Guards against an entry that reads the same configuration again and again, because the
// transfer takes longer than a confirmation is valid.
func TestSlowReadIsNotRepeatedWithoutChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An entry with 1 Mbit/s reads 453 KB once, and watches from there", t, func() {
			d := newDeployment(t, 1)
			defer d.close()
			d.net.SetBandwidth(entryIP(0), narrowLink/10)
			d.entries[0].store.setPatient()
			d.write(2140)
			time.Sleep(time.Minute)
			So(d.entries[0].config.Version(), ShouldEqual, d.version)
			So(d.traffic()[0], ShouldBeLessThan, 2*len(body(d.version, 2140)))
		})
	})
}

// Guards against large deltas that are cut off by the deadline of a small call, requested
// again, and fill the links of the few entries that the store serves.
func TestLargeChangeReachesRefusedEntriesInTime(t *testing.T) {
	cases := []struct {
		entries, refused int
		timeout          time.Duration
	}{{11, 4, applyTimeout}, {11, 9, applyTimeout}, {60, 0, targetApplyTimeout}, {60, 50, targetApplyTimeout}, {60, 58, targetApplyTimeout}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("A change of all keys is in force in time while the store refuses %d of %d entries", c.refused, c.entries), t, func() {
				d := newDeployment(t, c.entries)
				defer d.close()
				d.rotateKeys()
				time.Sleep(10 * time.Second)
				d.refuse(0, c.refused)
				time.Sleep(3 * time.Second)
				before := d.traffic()
				d.rotateKeys()
				d.checkWithin(c.timeout)
				So(d.lateVersions(), ShouldBeEmpty)
				most, sum := increase(before, d.traffic())
				t.Logf("%d of %d refused: %d KB on the busiest node, %d KB on average", c.refused, c.entries, most/1000, sum/1000/int64(c.entries))
			})
		})
	}
}

// Guards against entries that search for the few that the store serves for longer than a
// change may take, because these stop watching the store in between, or because entries
// of no use are tried again before others are tried once.
func TestRefusedEntriesFindTheFewThatTheStoreServes(t *testing.T) {
	for _, served := range []int{1, 5} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("A change is in force in time while the store serves %d of 60 entries", served), t, func() {
				d := newDeployment(t, 60)
				defer d.close()
				time.Sleep(10 * time.Second)
				d.refuse(0, 60-served)
				for range 3 {
					time.Sleep(3 * time.Second)
					d.write(45)
					d.checkWithin(targetApplyTimeout)
				}
				So(d.lateVersions(), ShouldBeEmpty)
			})
		})
	}
}

// Guards against configurations that exceed the traffic of a node, or come too late, at
// the target size: 60 entries and 15,000 changes a day of 610 workspaces, 6 s and 14 KB/s.
// The entries take turns, so the average of all is what each has over a day.
func TestTargetTrafficFitsNode(t *testing.T) {
	const (
		changeInterval = 24 * time.Hour / 15000
		changes        = 15
		targetQueues   = 2140 // 462 KB, as much as 610 workspaces
		nodeBudget     = 14_000
	)
	synctest.Test(t, func(t *testing.T) {
		Convey("The nodes stay within their traffic and get every version in time", t, func() {
			d := newDeployment(t, 60)
			defer d.close()
			time.Sleep(5 * time.Second)
			d.publish(targetQueues)
			time.Sleep(changeInterval)
			before := d.traffic()
			for range changes {
				d.publish(targetQueues)
				time.Sleep(changeInterval)
			}
			var most, sum float64
			for i, bytes := range d.traffic() {
				rate := float64(bytes-before[i]) / (changes * changeInterval).Seconds()
				most = max(most, rate)
				sum += rate
			}
			t.Logf("body %d bytes; %.1f KB/s on the busiest node, %.1f KB/s on average", len(body(1, targetQueues)), most/1000, sum/1000/float64(len(d.entries)))
			So(sum/float64(len(d.entries)), ShouldBeLessThan, nodeBudget)
			So(d.lateVersions(), ShouldBeEmpty)
		})
	})
}
