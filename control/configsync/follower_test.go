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

// source answers the feed from scripted steps and then stays silent.
type source struct {
	first string
	steps []step
}

type step struct {
	body string
	err  error
}

func (s *source) ReadConfiguration(context.Context) ([]byte, rows.Version, error) {
	return []byte(s.first), 1, nil
}

func (s *source) WatchConfiguration(ctx context.Context, after rows.Version, _ time.Duration) ([]byte, rows.Version, error) {
	if len(s.steps) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if next.err != nil {
		return nil, 0, next.err
	}
	return []byte(next.body), after + 1, nil
}

type peers struct{ body string }

func (p peers) Configuration(context.Context, ident.ConfigVersion) [][]byte {
	return [][]byte{[]byte(p.body)}
}

func decode(body []byte) (*catalog.Catalog, error) {
	n, err := strconv.Atoi(string(body))
	return catalog.New(catalog.Catalog{Version: ident.ConfigVersion(n)}), errkind.Wrap(errkind.Corrupt, err, "decode")
}

func newConfiguration(s Source, p Peers) *Follower {
	return &Follower{Source: s, Peers: p, Decode: decode,
		Logger: &log.Logger{Level: log.ErrorLevel + 1, Writer: &log.IOWriter{Writer: io.Discard}}}
}

// Guards against configurations that go backwards, get lost with the store's
// history, or do not reach an entry that the store leaves in silence.
func TestConfigurationOnlyGoesForward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Older and unreadable ones are ignored, and a lost history is read anew", t, func() {
			s := &source{first: "5", steps: []step{{body: "4"}, {body: "x"}, {body: "7"}, {err: errkind.New(errkind.HistoryLost, "")}, {body: "6"}}}
			c := newConfiguration(s, peers{"1"})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { c.Run(ctx); close(done) }()
			time.Sleep(time.Second)
			cancel()
			<-done
			So(c.Current().Version, ShouldEqual, ident.ConfigVersion(7))
			version, body := c.Body(6)
			So(version, ShouldEqual, ident.ConfigVersion(7))
			So(string(body), ShouldEqual, "7")
			_, body = c.Body(7)
			So(body, ShouldBeNil)
		})
		Convey("While the store is silent, other entries are asked", t, func() {
			c := newConfiguration(&source{first: "5"}, peers{"9"})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{}, 2)
			go func() { c.Run(ctx); done <- struct{}{} }()
			go func() { c.PollPeers(ctx); done <- struct{}{} }()
			time.Sleep(time.Second)
			So(c.Current().Version, ShouldEqual, ident.ConfigVersion(5))
			time.Sleep(feedWait + quietBefore)
			So(c.Current().Version, ShouldEqual, ident.ConfigVersion(9))
			cancel()
			<-done
			<-done
		})
	})
}
