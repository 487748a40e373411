package sheet

import (
	"reflect"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

const header = "record,workspace,name,count,tasks,accelerators,locality,weight,priority,max_queue\n"

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Guards against a parser that stops at the first error or reports a wrong position.
func TestParseReportsEveryProblemWithItsPosition(t *testing.T) {
	Convey("Given a sheet with one error in each line", t, func() {
		_, err := Parse([]byte(header +
			"workspace,alpha,,,,,,2,1,\n" +
			"workspace,alpha,,,,,,1,1,\n" +
			"shape,beta,big,1,4,8,rack,,,\n" +
			"shape,alpha,neg,-1,4,8,rack,,,\n" +
			"shape,alpha,loc,1,4,8,row,,,\n" +
			"shape,alpha,num,1,four,8,rack,,,\n" +
			"shape,alpha,wide,1,65,8,rack,,,\n" +
			"service,alpha,Upper,,,,,,,\n" +
			"caller,alpha,c,9,,,,,,\n" +
			"tenant,alpha,c,,,,,,,\n" +
			"workspace,operator,,,,,,,,\n" +
			"service,alpha\n"))
		Convey("every error is listed with line and column", func() {
			So(errkind.Is(err, errkind.InvalidArgument), ShouldBeTrue)
			for _, want := range []string{
				"3:11: workspace: duplicate workspace; the first is in line 2",
				`4:7: workspace: unknown workspace "beta"`,
				"5:17: count: -1 is below 1",
				`6:23: locality: unknown locality "row"; use worker, rack or partition`,
				`7:19: tasks: "four" is not a whole number`,
				"8:20: tasks: a gang has at most 64 tasks",
				"9:15: name: may contain only a-z, 0-9, - and _",
				"10:16: count: must be empty in a caller record",
				`11:1: record: must be workspace, shape, service or caller, not "tenant"`,
				"12:11: workspace: the name is reserved for operators",
				"13:1: the record has 2 fields; the header has 10",
			} {
				So(errorText(err), ShouldContainSubstring, want)
			}
		})
	})
}

// Guards against a bearer key that is pasted into the sheet and then logged.
func TestParseNeverRepeatsAKey(t *testing.T) {
	Convey("A key in the hash column is rejected and not shown", t, func() {
		token, hash := apikey.New("alpha", "c")
		text := strings.TrimSpace(header) + ",key_hash\nworkspace,alpha,,,,,,,,,\ncaller,alpha,c,,,,,,,,"
		_, err := Parse([]byte(text + token + "\n"))
		So(errorText(err), ShouldContainSubstring, "3:23: key_hash")
		So(errorText(err), ShouldNotContainSubstring, token)
		s, err := Parse([]byte(text + hash.String() + "\n"))
		So(err, ShouldBeNil)
		c, _ := s.Caller("alpha", "c")
		key, _ := apikey.Parse(token)
		So(c.KeyHash.Matches(key), ShouldBeTrue)
		other, _ := apikey.New("alpha", "c")
		wrong, _ := apikey.Parse(other)
		So(c.KeyHash.Matches(wrong), ShouldBeFalse)
	})
}

func genSheet(t *rapid.T) *Sheet {
	s := &Sheet{}
	name := rapid.StringMatching(`[a-z][a-z0-9_-]{0,5}`)
	for _, w := range rapid.SliceOfNDistinct(name, 1, 5, rapid.ID).Draw(t, "workspaces") {
		ws := ident.Workspace("w" + w)
		s.Workspaces = append(s.Workspaces, Workspace{ws, rapid.IntRange(1, 9).Draw(t, "weight"), rapid.IntRange(0, 9).Draw(t, "priority"), rapid.IntRange(0, 9).Draw(t, "max")})
		for _, n := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, "names") {
			s.Shapes = append(s.Shapes, Shape{Workspace: ws, Name: n, Count: rapid.IntRange(1, 4).Draw(t, "count"), Tasks: rapid.IntRange(1, 64).Draw(t, "tasks"),
				PerTask:  model.Resources{Accelerators: rapid.IntRange(1, 8).Draw(t, "acc"), Cores: rapid.IntRange(0, 8).Draw(t, "cores")},
				Locality: model.Locality(rapid.IntRange(0, 2).Draw(t, "loc")), Partition: ident.Partition(rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(t, "home"))})
			s.Services = append(s.Services, Service{ws, ident.Service(w + "x" + n), rapid.IntRange(0, 3).Draw(t, "q")})
			c := Caller{Workspace: ws, Name: ident.Caller(n), Weight: 1, Role: RoleOwner}
			if rapid.Bool().Draw(t, "keyed") {
				_, c.KeyHash = apikey.New(ws, c.Name)
			}
			s.Callers = append(s.Callers, c)
		}
	}
	s.sort()
	return s
}

// Guards against an encoding that loses a field or depends on the record order,
// which would give two processes different digests for the same configuration.
func TestEncodingIsCanonicalAndLossless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := genSheet(t)
		body := s.Encode()
		lines := strings.SplitAfter(strings.TrimSuffix(string(body), "\n"), "\n")
		last := len(lines) - 1
		lines[last] += "\n"
		shuffled := append([]string{lines[0]}, rapid.Permutation(lines[1:]).Draw(t, "order")...)
		parsed, err := Parse([]byte(strings.Join(shuffled, "")))
		if err != nil {
			t.Fatalf("the canonical text was rejected: %v", err)
		}
		if string(parsed.Encode()) != string(body) {
			t.Fatalf("changed by a round trip:\n%s\n%s", body, parsed.Encode())
		}
		parsed.positions = nil
		if !reflect.DeepEqual(s, parsed) {
			t.Fatalf("the round trip lost a field:\n%+v\n%+v", s, parsed)
		}
		if d := Diff(s, parsed); len(d) != 0 {
			t.Fatalf("a diff of equal sheets: %v", d)
		}
	})
}

// Guards against a diff that omits or invents a change.
func TestDiffNamesEachChange(t *testing.T) {
	Convey("Added, removed and changed records are listed", t, func() {
		a, err := Parse([]byte(header + "workspace,alpha,,,,,,1,1,\nworkspace,beta,,,,,,1,1,\nshape,alpha,big,2,4,8,rack,,,\n"))
		So(err, ShouldBeNil)
		b, err := Parse([]byte(header + "workspace,alpha,,,,,,3,1,\nshape,alpha,big,1,4,8,worker,,,\nservice,alpha,plots,,,,,,,7\n"))
		So(err, ShouldBeNil)
		So(Diff(a, b), ShouldResemble, []string{
			"+ service plots: max_queue 7",
			"~ shape alpha/big: count 2 -> 1, locality rack -> worker",
			"~ workspace alpha: weight 1 -> 3",
			"- workspace beta",
		})
	})
}

// fitByAccelerators limits each partition to a fixed number of accelerators.
func fitByAccelerators(limit int) FitFunc {
	return func(_ ident.Partition, plan model.Plan) []ShapeRef {
		var out []ShapeRef
		used := 0
		for _, w := range plan.Workspaces {
			for _, sh := range w.Shapes {
				used += sh.Count * sh.Tasks * sh.PerTask.Accelerators
				if used > limit {
					out = append(out, ShapeRef{w.Workspace, sh.Name})
				}
			}
		}
		return out
	}
}

// Guards against guarantees that are accepted without capacity, that move between
// partitions with each apply, or that are reduced below the gangs that hold them.
func TestResolve(t *testing.T) {
	limits := Limits{Partitions: []ident.Partition{"p1", "p2"}, Fits: fitByAccelerators(32)}
	Convey("Given a sheet that fills both partitions", t, func() {
		s, err := Parse([]byte(header + "workspace,alpha,,,,,,,,\nshape,alpha,big,1,4,8,rack,,,\nshape,alpha,small,4,1,8,worker,,,\n"))
		So(err, ShouldBeNil)
		placed, err := Resolve(s, nil, limits)
		So(err, ShouldBeNil)
		big, _ := placed.Shape("alpha", "big")
		small, _ := placed.Shape("alpha", "small")
		So([]ident.Partition{big.Partition, small.Partition}, ShouldResemble, []ident.Partition{"p1", "p2"})
		So(placed.Plan("p2", 7).Workspaces[0].Shapes[0].Name, ShouldEqual, "small")

		Convey("a later sheet keeps the home partitions for any order of partitions", func() {
			again, err := Resolve(s, placed, Limits{Partitions: []ident.Partition{"p2", "p1"}, Fits: fitByAccelerators(32)})
			So(err, ShouldBeNil)
			So(string(again.Encode()), ShouldEqual, string(placed.Encode()))
		})
		Convey("one more shape is rejected by name, together with the errors of the text", func() {
			text := header + "workspace,alpha,,,,,,,,\nshape,alpha,big,1,4,8,rack,,,\nshape,alpha,small,4,1,8,worker,,,\nshape,alpha,more,1,1,1,worker,,,\n"
			_, err := Check([]byte(text), placed, limits)
			So(errkind.Is(err, errkind.DoesNotFit), ShouldBeTrue)
			So(errorText(err), ShouldContainSubstring, "5:13: name: shape alpha/more")
			_, err = Check([]byte(text+"service,,,,,,,,,\n"), placed, limits)
			So(errkind.Is(err, errkind.InvalidArgument), ShouldBeTrue)
			So(errorText(err), ShouldContainSubstring, "5:13: name: shape alpha/more")
			So(errorText(err), ShouldContainSubstring, "6:9: workspace: is missing")
		})
		Convey("a named home partition that is full or unknown is rejected", func() {
			text := strings.TrimSpace(header) + ",partition\nworkspace,alpha,,,,,,,,,\nshape,alpha,big,1,4,8,rack,,,,p1\nshape,alpha,more,1,1,1,worker,,,,p1\nshape,alpha,lost,1,1,1,worker,,,,p9\n"
			_, err := Check([]byte(text), nil, limits)
			So(errorText(err), ShouldContainSubstring, "4:13: name: shape alpha/more does not fit in partition p1")
			So(errorText(err), ShouldContainSubstring, `5:34: partition: unknown partition "p9"`)
		})
		Convey("a guarantee that gangs hold cannot be reduced, removed or changed", func() {
			limits := limits
			limits.Held = func(ref ShapeRef) int { return map[string]int{"small": 3, "big": 1}[ref.Shape] }
			_, err := Check([]byte(header+"workspace,alpha,,,,,,,,\nshape,alpha,small,2,1,8,worker,,,\n"), placed, limits)
			So(errkind.Is(err, errkind.Conflict), ShouldBeTrue)
			So(errorText(err), ShouldContainSubstring, "3:19: count: shape alpha/small is reduced to 2 while 3 gangs hold it")
			So(errorText(err), ShouldContainSubstring, "shape alpha/big is removed while 1 gangs hold it")
			_, err = Check([]byte(header+"workspace,alpha,,,,,,,,\nshape,alpha,big,1,2,8,rack,,,\nshape,alpha,small,3,1,8,worker,,,\n"), placed, limits)
			So(errorText(err), ShouldContainSubstring, "alpha/big changes its layout")
		})
	})
}

// Guards against a text that crashes the parser, or that it accepts but cannot
// encode and parse again.
func FuzzParse(f *testing.F) {
	f.Add(header + "workspace,alpha,,,,,,2,1,\nshape,alpha,big,1,4,8,rack,,,\n")
	f.Add("record,workspace\n\"a,b\n")
	f.Add("\xef\xbb\xbf" + header)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse([]byte(text))
		if err != nil {
			return
		}
		again, err := Parse(s.Encode())
		if err != nil || string(again.Encode()) != string(s.Encode()) {
			t.Fatalf("accepted, but its encoding cannot be parsed: %v", err)
		}
	})
}

// Guards against a delta that does not turn one sheet into the other.
func TestDeltaAndPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genSheet(t), genSheet(t), genSheet(t)
		got, err := Patch(a.Encode(), Delta(a, b), Delta(b, c))
		if err != nil || string(got.Encode()) != string(c.Encode()) {
			t.Fatalf("the patched sheet differs: %v", err)
		}
		if string(a.Encode()) != string(c.Encode()) {
			if _, err := Patch(c.Encode(), Delta(a, c)); !errkind.Is(err, errkind.Corrupt) {
				t.Fatalf("a delta was applied to another base: %v", err)
			}
		}
	})
}
