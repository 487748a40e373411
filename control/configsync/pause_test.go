package configsync

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

// virtualClock counts virtual time.
func virtualClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// pausable is a clock that can jump ahead while nothing else runs, as it does when the
// process is stopped or its machine suspended.
type pausable struct{ paused atomic.Int64 }

func (p *pausable) now() time.Duration { return virtualClock() + time.Duration(p.paused.Load()) }

func (p *pausable) pause(d time.Duration) { p.paused.Add(int64(d)) }

// Guards against a process that decides by a configuration whose keys were withdrawn while
// it was paused.
func TestConfigurationIsNotTrustedAfterPause(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 10 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			Convey("After a pause of "+pause.String(), t, func() {
				clock := &pausable{}
				answers := make(chan string)
				peers := &fakePeers{reply: func(ctx context.Context, req exchange.FetchRequest) (exchange.Versioned, error) {
					select {
					case version := <-answers:
						return whole(version), nil
					case <-ctx.Done():
						return exchange.Versioned{}, ctx.Err()
					}
				}}
				f := newFollower(&fakeSource{}, peers)
				f.opts.Clock = clock.now
				ctx, cancel := context.WithCancel(context.Background())
				go f.WatchPauses(ctx)
				fetch := func() { f.fetch(ctx, "peer", exchange.FetchRequest{}) }
				go fetch()
				answers <- "4"
				synctest.Wait()
				So(f.Trusted(), ShouldNotBeNil)
				go fetch() // its answer is under way during the pause
				synctest.Wait()
				clock.pause(pause)
				So(f.Trusted(), ShouldBeNil)
				answers <- "4"
				synctest.Wait()
				So(f.Trusted(), ShouldBeNil)
				Convey("a call that begins after it confirms the version", func() {
					time.Sleep(time.Millisecond)
					go fetch()
					answers <- "5"
					synctest.Wait()
					So(f.Trusted().Version, ShouldEqual, ident.ConfigVersion(5))
					cancel()
				})
				Convey("an outage of everything does not end the service", func() {
					time.Sleep(unconfirmedTimeout + time.Millisecond)
					So(f.Trusted().Version, ShouldEqual, ident.ConfigVersion(4))
					cancel()
				})
				cancel()
			})
		})
	}
}

// Guards against an entry that restarts while the store refuses it, learns an old
// configuration from an entry that is behind, and accepts a key that was withdrawn.
func TestRestartedEntryNeedsConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A version from an entry without a recent confirmation is not trusted", t, func() {
			age := 10 * time.Second
			peers := &fakePeers{reply: func(context.Context, exchange.FetchRequest) (exchange.Versioned, error) {
				v := whole("4")
				v.Age = age
				return v, nil
			}}
			f := newFollower(&fakeSource{}, peers)
			clock := &pausable{}
			f.opts.Clock = clock.now
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go f.WatchPauses(ctx)
			f.fetch(ctx, "peer", exchange.FetchRequest{})
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(4))
			So(f.Trusted(), ShouldBeNil)
			clock.pause(2 * pauseAfter) // also when it was paused early in its life
			time.Sleep(time.Minute)
			So(f.Trusted(), ShouldBeNil)
			age = 0
			f.fetch(ctx, "peer", exchange.FetchRequest{})
			So(f.Trusted(), ShouldNotBeNil)
		})
	})
}
