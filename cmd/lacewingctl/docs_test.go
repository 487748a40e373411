package main

import (
	"io"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/lacewingpier/lacewingpier/control/adminapi"
	"github.com/lacewingpier/lacewingpier/control/agent"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/control/entry"
)

// fieldNames returns the JSON names of a settings struct and of the structs
// inside it.
func fieldNames(t reflect.Type) []string {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
		names = append(names, fieldNames(field.Type)...)
	}
	return names
}

// Guards against settings, columns or commands that the operating page omits
// or that have changed since.
func TestOperatingPageIsComplete(t *testing.T) {
	raw, err := os.ReadFile("../../docs/operating.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(raw)
	names := append([]string{}, sheet.Columns...)
	for _, s := range []any{entry.Settings{}, agent.Settings{}, adminapi.Settings{}} {
		names = append(names, fieldNames(reflect.TypeOf(s))...)
	}
	if len(names) < 30 {
		t.Fatalf("only %d names found", len(names))
	}
	for _, name := range names {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/operating.md does not mention %s", name)
		}
	}
	commandLines := regexp.MustCompile(`(?m)^ *lacewingctl (.+)$`).FindAllStringSubmatch(page, -1)
	if len(commandLines) < 15 {
		t.Errorf("only %d command lines found", len(commandLines))
	}
	for _, line := range commandLines {
		var c commands
		parser, err := kong.New(&c, kong.Writers(io.Discard, io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parser.Parse(strings.Fields(line[1])); err != nil {
			t.Errorf("lacewingctl %s: %v", line[1], err)
		}
	}
}
