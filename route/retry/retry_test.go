package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/route/retry"
)

func newPolicy(seed uint64) *retry.Policy {
	return &retry.Policy{
		Budget:  retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst),
		Backoff: retry.DefaultBackoff(),
		Random:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// Guards against a second run of a request that may have run and must not run
// twice, and against retries that cannot succeed, for every kind of error.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := retry.Attempt{
			Kind:          rapid.SampledFrom(errkind.Kinds()).Draw(t, "kind"),
			Number:        rapid.IntRange(1, 80).Draw(t, "number"),
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			BodyKept:      rapid.Bool().Draw(t, "body kept"),
			AnswerStarted: rapid.Bool().Draw(t, "answer started"),
			TimeLeft:      time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left")) * time.Millisecond,
			Expected:      time.Duration(rapid.IntRange(0, 1000).Draw(t, "expected")) * time.Millisecond,
		}
		p := newPolicy(1)
		tokensBefore := p.Budget.Tokens()
		d := p.Decide(a)
		answer := a.Kind.Answer()
		taken := tokensBefore - p.Budget.Tokens()
		switch {
		case !d.Retry:
			if taken != 0 {
				t.Fatalf("a refusal took %v tokens", taken)
			}
		case !answer.Retryable || a.AnswerStarted || !a.BodyKept:
			t.Fatalf("%+v was tried again", a)
		case answer.Outcome != errkind.NotRun && (!a.Idempotent || taken != 1 || a.Number >= retry.MaxAttempts):
			t.Fatalf("%+v may have run and was tried again for %v tokens", a, taken)
		case a.TimeLeft < d.Wait+a.Expected:
			t.Fatalf("%+v was tried again after %s without time left", a, d.Wait)
		}
	})
}

// Guards against retries that multiply the load of an outage.
func TestBudget(t *testing.T) {
	Convey("When every request fails", t, func() {
		p := newPolicy(1)
		retries := 0
		const requests = 10000
		for range requests {
			p.Budget.Request()
			a := retry.Attempt{Kind: errkind.UpstreamFailed, Number: 1, Idempotent: true, BodyKept: true, TimeLeft: time.Minute}
			for ; p.Decide(a).Retry; a.Number++ {
				retries++
			}
		}
		So(retries, ShouldBeBetween, requests*0.09, requests*0.1+retry.DefaultBurst+1)
	})
}

// Guards against synchronized retries, waits outside their bounds, and a source
// of randomness that the caller does not control.
func TestBackoff(t *testing.T) {
	Convey("Waits grow to the bound, differ, and repeat with the seed", t, func() {
		b := retry.DefaultBackoff()
		first, second := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
		distinct := map[time.Duration]bool{}
		for i := 1; i < 200; i++ {
			wait := b.Wait(i, first)
			upper := min(b.Base<<min(i-1, 20), b.Max)
			So(wait, ShouldBeBetweenOrEqual, upper/2, upper)
			So(b.Wait(i, second), ShouldEqual, wait)
			distinct[wait] = true
		}
		So(len(distinct), ShouldBeGreaterThan, 190)
	})
}
