// Command standin-2 plays the cases of the second review: it starts the project's programs with
// stand-ins for the platform's store, the minions and the clients, all on loopback addresses.
package main

import (
	"fmt"
	"maps"
	"os"
	"time"
)

// The results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// bounds are the bounds of both deployments of three entries, as their pages state them.
var bounds = map[string]any{
	"grace_s": 6, "max_hold_ms": 6000, "restore_ms": 250, "status_s": 120,
}

// world is what a case plays in.
type world struct {
	log     *record
	store   *store
	system  *system
	fleet   *fleet
	client  *client
	trouble bool
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(failed)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failed)
	}
	log, err := openRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	os.Exit(playCase(log, play))
}

func playCase(log *record, play func(*world) int) int {
	w := &world{log: log, trouble: os.Getenv("TROUBLE") != "0"}
	log.line("trouble: %v", w.trouble)
	result := play(w)
	if w.system != nil {
		w.system.stop()
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[result]
	log.line("result %d: %s", result, text)
	fmt.Println(text)
	return result
}

// deployment says what a case starts.
type deployment struct {
	entries int
	bounds  map[string]any
	config  map[string]any
	minions []minionSpec
}

type minionSpec struct {
	backend  string
	rack     string
	capacity demand
}

var places = []string{"amman-a", "irbid-a", "aqaba-a"}

// begin starts the stand-ins and the project's programs, and waits until the entries serve and all
// minions have reported to the owner.
func (w *world) begin(d deployment) bool {
	var err error
	if w.store, err = newStore(w.log); err != nil {
		return w.cannot("store: %v", err)
	}
	w.store.put("op", "config", d.config)
	all := maps.Clone(bounds)
	maps.Copy(all, d.bounds)
	if w.system, err = newSystem(w.log, w.store.addr, all); err != nil {
		return w.cannot("folder: %v", err)
	}
	hold := time.Duration(all["max_hold_ms"].(int)) * time.Millisecond
	w.fleet = &fleet{log: w.log, jobs: map[string][]*step{}, maxHold: hold}
	w.client = &client{log: w.log, fleet: w.fleet, timeout: 3 * time.Second}
	for i := range d.entries {
		if _, err := w.system.start("entry", "edge", places[i%len(places)]); err != nil {
			return w.cannot("entry: %v", err)
		}
	}
	var agents []*machine
	for i := range d.minions {
		agent, err := w.system.start("agent", "side", places[i%len(places)])
		if err != nil {
			return w.cannot("agent: %v", err)
		}
		agents = append(agents, agent)
	}
	time.Sleep(300 * time.Millisecond)
	for i, m := range d.minions {
		if _, err := w.fleet.add(fmt.Sprint(i+1), m.backend, places[i%len(places)], []string{"a", m.rack}, m.capacity, agents[i].control); err != nil {
			return w.cannot("minion: %v", err)
		}
	}
	if !w.system.awaitReady(15 * time.Second) {
		return w.cannot("the entries are not ready")
	}
	called := func() bool {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		for _, m := range w.fleet.minions {
			if m.token == 0 {
				return false
			}
		}
		return true
	}
	if !await(15*time.Second, called) {
		return w.cannot("the owner has not called all minions")
	}
	time.Sleep(2 * time.Second)
	w.log.line("the system is ready")
	return true
}

func (w *world) cannot(format string, args ...any) bool {
	w.log.line("cannot run: "+format, args...)
	return false
}

// configuration returns a configuration with one tenant and the given routes.
func configuration(version int, routes ...map[string]any) map[string]any {
	backends, seen := []any{}, map[any]bool{}
	for _, r := range routes {
		if !seen[r["backend"]] {
			seen[r["backend"]] = true
			backends = append(backends, map[string]any{"name": r["backend"], "health_check": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": true, "standby": false})
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant1", names.Keys: []string{key}, "priority": 1, "guaranteed": map[string]any{"gpu": 8}}},
	}
}

func route(name, prefix, backend string, priority int) map[string]any {
	return map[string]any{"name": name, "host": host, names.Prefix: prefix, "type": "unsafe", "timeout_ms": 3000, names.Target: 1200,
		"priority": priority, "backend": backend, "attempts": 3, "slack_factor": 3.0, "public": false}
}
