package adminapi

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
)

// example is one documented call with the documented part of its response.
type example struct {
	method, path, caller, body string
	status                     int
	response                   string
}

var exampleBlocks = regexp.MustCompile("(?s)```http (\\d+)\n(\\S+) (\\S+)\nKey: (\\S+)\n(.*?)```\n\n```json\n(.*?)```")

func readExamples(t *testing.T) []example {
	raw, err := os.ReadFile("../../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	var out []example
	for _, m := range exampleBlocks.FindAllStringSubmatch(string(raw), -1) {
		status, _ := strconv.Atoi(m[1])
		out = append(out, example{method: m[2], path: m[3], caller: m[4], body: strings.TrimPrefix(m[5], "\n"), status: status, response: m[6]})
	}
	if want := strings.Count(string(raw), "```http"); want != len(out) {
		t.Fatalf("%d of %d examples have the documented form", len(out), want)
	}
	return out
}

// findMismatch returns the first place where got differs from want, or an empty
// string. The text "..." in want matches any text, and lists and objects of got
// may contain more than those of want. An empty list in want matches only an empty
// list.
func findMismatch(path string, want, got any) string {
	switch w := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		if !ok {
			return path
		}
		for key, value := range w {
			if where := findMismatch(path+"."+key, value, g[key]); where != "" {
				return where
			}
		}
	case []any:
		g, ok := got.([]any)
		if !ok || len(g) < len(w) || (len(w) == 0 && len(g) > 0) {
			return path
		}
		for i, value := range w {
			if where := findMismatch(fmt.Sprintf("%s[%d]", path, i), value, g[i]); where != "" {
				return where
			}
		}
	default:
		if _, isString := got.(string); want == "..." && isString {
			return ""
		}
		if !reflect.DeepEqual(want, got) {
			return fmt.Sprintf("%s is %v, not %v", path, got, want)
		}
	}
	return ""
}

// Guards against documentation that no longer matches the HTTP interface.
func TestDocumentedExamples(t *testing.T) {
	documented := map[string]bool{}
	for _, e := range readExamples(t) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			code, _, body := f.call(e.method, e.path, e.caller, e.body)
			var want, got any
			if err := json.Unmarshal([]byte(e.response), &want); err != nil {
				t.Fatalf("%s %s: the documented response is not JSON: %v", e.method, e.path, err)
			}
			if err := json.Unmarshal([]byte(body), &got); err != nil {
				t.Fatalf("%s %s: %v: %s", e.method, e.path, err, body)
			}
			if where := findMismatch("answer", want, got); code != e.status || where != "" {
				t.Errorf("%s %s: status %d, want %d; %s\n%s", e.method, e.path, code, e.status, where, body)
			}
		})
		documented[e.method+" "+e.path] = true
	}
	exampleNames := strings.NewReplacer(":workspace", "alpha", ":job", "job-alpha", ":worker", "w-17", ":upstream", "plots-3")
	for _, route := range Routes() {
		found := false
		for example := range documented {
			found = found || example == route.Method+" "+exampleNames.Replace(route.Path) || strings.HasPrefix(example, route.Method+" "+exampleNames.Replace(route.Path)+"?")
		}
		if !found {
			t.Errorf("%s %s has no example in docs/api.md", route.Method, route.Path)
		}
	}
}
