package configsync

import (
	"context"
	"io"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lacewingpier/lacewingpier/core/catalog"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/rows"
)

// fakeSource returns the given watch results and then blocks.
type fakeSource struct {
	initial string
	results []watchResult
}

type watchResult struct {
	body string
	err  error
}

func (s *fakeSource) ReadConfiguration(context.Context) ([]byte, rows.Version, error) {
	return []byte(s.initial), 1, nil
}

func (s *fakeSource) WatchConfiguration(ctx context.Context, after rows.Version, _ time.Duration) ([]byte, rows.Version, error) {
	if len(s.results) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	next := s.results[0]
	s.results = s.results[1:]
	if next.err != nil {
		return nil, 0, next.err
	}
	return []byte(next.body), after + 1, nil
}

type fakePeers struct{ body string }

func (p fakePeers) Configuration(context.Context, ident.ConfigVersion) []Received {
	return []Received{{Body: []byte(p.body)}}
}

func decode(body []byte) (*catalog.Catalog, error) {
	n, err := strconv.Atoi(string(body))
	return catalog.New(catalog.Catalog{Version: ident.ConfigVersion(n)}), errkind.Wrap(errkind.Corrupt, err, "decode")
}

func newFollower(s Source, p Peers) *Follower {
	return &Follower{Source: s, Peers: p, Decode: decode, Count: func(string) {},
		Logger: &log.Logger{Level: log.ErrorLevel + 1, Writer: &log.IOWriter{Writer: io.Discard}}}
}

// Guards against reverting to an older configuration, missing one when the store drops
// its history, and not getting one while the store does not answer.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Older and invalid configurations are ignored, and a lost history causes a new read", t, func() {
			s := &fakeSource{initial: "5", results: []watchResult{{body: "4"}, {body: "x"}, {body: "7"}, {err: errkind.New(errkind.HistoryLost, "")}, {body: "6"}}}
			f := newFollower(s, fakePeers{"1"})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { f.Run(ctx); close(done) }()
			time.Sleep(time.Second)
			cancel()
			<-done
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(7))
			version, body := f.Body(6)
			So(version, ShouldEqual, ident.ConfigVersion(7))
			So(string(body), ShouldEqual, "7")
			_, body = f.Body(7)
			So(body, ShouldBeNil)
		})
		Convey("Other entries are queried while the store does not answer", t, func() {
			f := newFollower(&fakeSource{initial: "5"}, fakePeers{"9"})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{}, 2)
			go func() { f.Run(ctx); done <- struct{}{} }()
			go func() { f.PollPeers(ctx); done <- struct{}{} }()
			time.Sleep(time.Second)
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(5))
			time.Sleep(watchWait + silenceBeforePeers)
			So(f.Current().Version, ShouldEqual, ident.ConfigVersion(9))
			cancel()
			<-done
			<-done
		})
	})
}
