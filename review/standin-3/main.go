// Command standin3 plays a case of the review: the project's own programs as separate processes,
// and stand-ins for the platform's store, the minions and the clients, all on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

// scenario plays a case, with or without its disruption.
type scenario func(w *world, trouble bool) error

var scenarios = map[string]scenario{
	"route-removed":  routeRemoved,
	"route-replaced": routeReplaced,
	"advice-burst":   adviceBurst,
	"reborn":         rebornWithAgent,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	err = s(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		w.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		w.note("result: %v", err)
		fmt.Println(err)
		return exitBroken
	default:
		w.note("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
}
