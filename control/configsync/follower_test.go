package configsync

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/control/config/exchange"
	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rendezvous"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// fakeSource returns the given watch results and then blocks.
type fakeSource struct {
	initial string
	results []watchResult
	// transferTime is how long a read takes.
	transferTime time.Duration
}

type watchResult struct {
	body string
	err  error
}

func (s *fakeSource) ReadConfiguration(context.Context) (rows.Latest, error) {
	time.Sleep(s.transferTime)
	return rows.Latest{Value: []byte(s.initial), At: 1}, nil
}

func (s *fakeSource) WatchConfiguration(ctx context.Context, after rows.Version, _ time.Duration, _ int) (rows.Latest, error) {
	if len(s.results) == 0 {
		<-ctx.Done()
		return rows.Latest{}, ctx.Err()
	}
	next := s.results[0]
	s.results = s.results[1:]
	if next.err != nil {
		return rows.Latest{}, next.err
	}
	return rows.Latest{Value: []byte(next.body), At: after + 1}, nil
}

// fakePeers are the other entries. They answer as reply says.
type fakePeers struct {
	reply func(ctx context.Context, req exchange.FetchRequest) (exchange.Versioned, error)
	// others are the addresses of the other entries, one by default.
	others []string

	mu sync.Mutex
	// requests are the requests that were answered.
	requests []exchange.FetchRequest
}

func (p *fakePeers) FetchConfiguration(ctx context.Context, _ string, req exchange.FetchRequest) (exchange.Versioned, error) {
	p.mu.Lock()
	p.requests = append(p.requests, req)
	p.mu.Unlock()
	return p.reply(ctx, req)
}

func (p *fakePeers) Useful(subject string) []string { return rendezvous.Rank(subject, p.SearchOrder()) }

func (p *fakePeers) SearchOrder() []string {
	if p.others == nil {
		return []string{"peer"}
	}
	return p.others
}

func (p *fakePeers) Record(string, bool) {}

func whole(version string) exchange.Versioned {
	n, err := strconv.Atoi(version)
	if err != nil {
		panic(err)
	}
	return exchange.Versioned{Version: ident.ConfigVersion(n), Digest: exchange.Digest([]byte(version)), Body: []byte(version)}
}

// holding returns the reply function of an entry that holds one version.
func holding(version string) func(context.Context, exchange.FetchRequest) (exchange.Versioned, error) {
	return func(ctx context.Context, req exchange.FetchRequest) (exchange.Versioned, error) {
		v := whole(version)
		if v.Version < req.AtLeast {
			sleep(ctx, req.Wait)
		}
		if v.Version < req.AtLeast || req.DeltaLimit > 0 {
			v.Body = nil
		}
		return v, nil
	}
}

func decode(body []byte) (*catalog.Catalog, error) {
	n, err := strconv.Atoi(string(body))
	return catalog.New(catalog.Catalog{Version: ident.ConfigVersion(n)}), errkind.Wrap(errkind.Corrupt, err, "decode")
}

func newFollower(s Source, p Peers) *Follower {
	return NewFollower(Options{Source: s, Peers: p, Decode: decode, Count: func(string) {}, Clock: virtualClock,
		Logger: &log.Logger{Level: log.ErrorLevel + 1, Writer: &log.IOWriter{Writer: io.Discard}}})
}

// run runs the watches of a follower until stop is called.
func run(f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { f.WatchStore(ctx) })
	group.Go(func() { f.WatchPeers(ctx) })
	return func() {
		cancel()
		group.Wait()
	}
}

// Guards against a slow transfer of an old version that counts as a proof that there is no
// newer one, so that entries rely on each other for too long.
func TestTransferTimeCountsAsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A version whose transfer took 1.2 s is 1.2 s old when it has arrived", t, func() {
			s := &fakeSource{initial: "5", transferTime: 1200 * time.Millisecond}
			unreachable := func(context.Context, exchange.FetchRequest) (exchange.Versioned, error) {
				return exchange.Versioned{}, errkind.New(errkind.StoreUnavailable, "no connection")
			}
			f := newFollower(s, &fakePeers{reply: unreachable})
			stop := run(f)
			time.Sleep(s.transferTime + time.Millisecond)
			age, version := f.Age(), f.Version()
			stop()
			So(version, ShouldEqual, ident.ConfigVersion(5))
			So(age, ShouldBeGreaterThanOrEqualTo, s.transferTime)
		})
	})
}

// Guards against reverting to an older configuration, and missing one when the store
// drops its history.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Older and invalid configurations are ignored, and a lost history causes a new read", t, func() {
			s := &fakeSource{initial: "5", results: []watchResult{{body: "4"}, {body: "x"}, {body: "7"}, {err: errkind.New(errkind.HistoryLost, "")}, {body: "6"}}}
			f := newFollower(s, &fakePeers{reply: holding("1")})
			stop := run(f)
			time.Sleep(time.Second)
			stop()
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(7))
			reply := f.Answer(context.Background(), exchange.FetchRequest{AtLeast: 7})
			So(reply.Version, ShouldEqual, ident.ConfigVersion(7))
			So(string(reply.Body), ShouldEqual, "7")
			So(f.Answer(context.Background(), exchange.FetchRequest{AtLeast: 8}).Body, ShouldBeNil)
		})
		Convey("Content without the stated digest is not used", t, func() {
			wrong := func(context.Context, exchange.FetchRequest) (exchange.Versioned, error) {
				v := whole("9")
				v.Digest = exchange.Digest([]byte("8"))
				return v, nil
			}
			f := newFollower(&fakeSource{initial: "5"}, &fakePeers{reply: wrong})
			stop := run(f)
			time.Sleep(5 * time.Second)
			stop()
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(5))
		})
	})
}

// Guards against waiting for the store to fail before other entries are asked.
func TestChangeArrivesFromPeersWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A newer configuration of another entry is active at once", t, func() {
			f := newFollower(&fakeSource{initial: "5"}, &fakePeers{reply: holding("9")})
			stop := run(f)
			time.Sleep(100 * time.Millisecond)
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(9))
			stop()
		})
	})
}

// slowAndFastPeers are two other entries that hold version 9, without deltas. The first one
// takes two seconds to fail to send its body.
type slowAndFastPeers struct{ fakePeers }

func (p *slowAndFastPeers) FetchConfiguration(ctx context.Context, address string, req exchange.FetchRequest) (exchange.Versioned, error) {
	switch {
	case address == "fast":
		sleep(ctx, 10*time.Millisecond)
	case req.DeltaLimit == 0:
		sleep(ctx, 2*time.Second)
		return exchange.Versioned{}, errkind.New(errkind.StoreUnavailable, "the deadline has passed")
	}
	return holding("9")(ctx, req)
}

func (p *slowAndFastPeers) Useful(string) []string { return []string{"slow", "fast"} }
func (p *slowAndFastPeers) SearchOrder() []string  { return []string{"slow", "fast"} }

// Guards against an entry that waits for a body from a slow entry while another has it.
func TestSlowBodyIsFetchedFromSecondEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The body of the second entry is active within a second", t, func() {
			f := newFollower(&fakeSource{initial: "5", transferTime: 5 * time.Second}, &slowAndFastPeers{})
			stop := run(f)
			time.Sleep(time.Second)
			version := f.Version()
			stop()
			So(version, ShouldEqual, ident.ConfigVersion(9))
		})
	})
}

// Guards against whole bodies where a delta would do, and against an entry that gets
// stuck when a delta does not fit.
func TestDeltasAreUsedIfTheyFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		delta := func(base, next string) []byte {
			d, err := exchange.Delta([]byte(base), []byte(next))
			So(err, ShouldBeNil)
			return d
		}
		cases := []struct {
			name       string
			deltas     func() [][]byte
			wholeCount int
		}{
			{"A fitting chain of deltas needs no body", func() [][]byte { return [][]byte{delta("5", "7"), delta("7", "9")} }, 0},
			{"After a delta with another result the body is fetched", func() [][]byte { return [][]byte{delta("5", "8")} }, 1},
			{"After unreadable deltas the body is fetched", func() [][]byte { return [][]byte{[]byte("x")} }, 1},
		}
		for _, c := range cases {
			Convey(c.name, t, func() {
				deltas := c.deltas()
				peers := &fakePeers{}
				peers.reply = func(ctx context.Context, req exchange.FetchRequest) (exchange.Versioned, error) {
					v, err := holding("9")(ctx, req)
					if req.Have == 5 {
						v.Body, v.Base, v.Deltas = nil, 5, deltas
					}
					return v, err
				}
				f := newFollower(&fakeSource{initial: "5"}, peers)
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { f.WatchStore(ctx); close(done) }()
				synctest.Wait()
				f.watchPeer(ctx, "peer")
				So(f.Current().Version, ShouldEqual, ident.ConfigVersion(9))
				wholeCount := 0
				for _, r := range peers.requests {
					if r.Have == 0 {
						wholeCount++
					}
				}
				So(wholeCount, ShouldEqual, c.wholeCount)
				cancel()
				<-done
			})
		}
	})
}

// Guards against an entry that stops watching the store while no other one does it for
// the entries that rely on it.
func TestReaderGoesOnUntilItIsRelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Only a confirmation by an entry that precedes it relieves an entry", t, func() {
			order := rendezvous.Rank(subject(5), []string{"a", "b", "c", "d", "e"})
			peers := &fakePeers{reply: holding("1"), others: append(slices.Clone(order[:3]), order[4])}
			f := newFollower(&fakeSource{initial: "5"}, peers)
			f.opts.Self = order[3]
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { f.WatchStore(ctx); close(done) }()
			time.Sleep(10 * confirmedFor)
			So(f.hasStoreDuty(), ShouldBeTrue)
			f.confirm(confirmation{version: 5, at: time.Now(), began: time.Now(), by: order[4]})
			f.confirm(confirmation{version: 5, at: time.Now(), began: time.Now(), by: order[3]})
			So(f.hasStoreDuty(), ShouldBeTrue)
			f.confirm(confirmation{version: 5, at: time.Now(), began: time.Now(), by: order[2]})
			So(f.hasStoreDuty(), ShouldBeFalse)
			time.Sleep(confirmedFor + time.Millisecond)
			So(f.hasStoreDuty(), ShouldBeTrue)
			cancel()
			<-done
		})
	})
}

// Guards against requests that are held by an entry that would not learn of a change.
func TestAnswerWaitsOnlyWhileConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An entry without a recent confirmation answers at once and says so", t, func() {
			f := newFollower(&fakeSource{initial: "5"}, &fakePeers{reply: holding("1")})
			stop := run(f)
			time.Sleep(100 * time.Millisecond)
			request := exchange.FetchRequest{AtLeast: 6, Have: 5, Wait: peerWait, DeltaLimit: exchange.InlineDeltas}
			start := time.Now()
			So(f.Answer(context.Background(), request).Age, ShouldBeLessThan, confirmedFor)
			So(time.Since(start), ShouldEqual, peerWait)
			time.Sleep(confirmedFor)
			start = time.Now()
			So(f.Answer(context.Background(), request).Age, ShouldBeGreaterThan, confirmedFor)
			So(time.Since(start), ShouldEqual, 0)
			stop()
		})
	})
}

// Guards against a configuration that ends the process, or stops it from following later
// ones, because its decoding panics.
func TestConfigurationThatPanicsIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The active configuration stays, and the next one is used", t, func() {
			source := &fakeSource{initial: "1", results: []watchResult{{body: "2"}, {body: "3"}}}
			f := newFollower(source, &fakePeers{others: []string{}})
			f.opts.Decode = func(body []byte) (*catalog.Catalog, error) {
				if string(body) == "2" {
					panic("planted")
				}
				return decode(body)
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { f.WatchStore(ctx); close(done) }()
			time.Sleep(time.Second)
			So(f.Version(), ShouldEqual, ident.ConfigVersion(3))
			cancel()
			<-done
		})
	})
}
