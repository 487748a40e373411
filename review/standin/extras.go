package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// clockBack restarts a minion twice. With the disruption, the time of day of its machine is
// 2 s ahead at the first restart and right again at the second one.
func clockBack(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 2, minionSize)
	defer s.stop()
	m := s.addMinion(3, "b", rackOf(3), minionSize)
	time.Sleep(3 * time.Second)
	work := func(label string) step {
		return step{Count: 2, CPU: 1000, MemMB: 64, GPU: 1, EstimatedMs: 1000, Label: label, work: constant(time.Second)}
	}
	jobs := []*job{s.submit(jobID(0), work("b")), s.submit(jobID(1), work("a"))}
	time.Sleep(2500 * time.Millisecond)
	var ahead time.Duration
	if trouble {
		ahead = 2 * time.Second
		log.line("the time of day of machine %s jumps ahead by 2 s", m.machine)
	}
	m.crash()
	time.Sleep(300 * time.Millisecond)
	m.boot(newID(), time.Now().Add(ahead).UnixMilli())
	time.Sleep(700 * time.Millisecond)
	if trouble {
		log.line("the time of day of machine %s jumps back by 2 s", m.machine)
	}
	m.crash()
	time.Sleep(300 * time.Millisecond)
	m.boot(newID(), time.Now().UnixMilli())
	time.Sleep(6 * time.Second)
	for i := range 4 {
		jobs = append(jobs, s.submit(jobID(2+2*i), work("b")), s.submit(jobID(3+2*i), work("a")))
		time.Sleep(time.Second)
	}
	return len(s.idleJobs(jobs, time.Now())) == 0
}

// foreignBeat sends one heartbeat of a service that no configuration names to the agent of
// a minion at work.
func foreignBeat(log *record, trouble bool) bool {
	s := smallDeployment(log, 3, 3, minionSize)
	defer s.stop()
	var jobs []*job
	for i := range 3 {
		jobs = append(jobs, s.submit(jobID(i), step{Count: 6, CPU: 7500, MemMB: 64, GPU: 1, EstimatedMs: 8000, work: constant(8 * time.Second)}))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		m := s.fleet.minions[0]
		raw, _ := json.Marshal(map[string]any{
			"backend": "other", "address": freeAddr(), "zone": zone, "version": "v1", "slots": 8, "state": "ready",
			"capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r1-3"},
			"born": time.Now().UnixMilli(), "clock_ms": 10, "sequence": 1,
		})
		resp, err := httpClient.Post("http://"+m.agent+wire.Heartbeat+newID(), "application/json", bytes.NewReader(raw))
		if err != nil {
			fail("heartbeat: %v", err)
		}
		log.line("a heartbeat of service other arrives at the agent of %s: answered %d", m.name, resp.StatusCode)
		resp.Body.Close()
	}
	idle := s.idleJobs(jobs, time.Now().Add(8*time.Second))
	return len(idle) == 0 && s.fleet.checkRepeats() == 0 && len(s.fleet.broken) == 0
}

// advisor is a stand-in for the placement advisor, whose policy allows some minions.
type advisor struct {
	log     *record
	allowed map[string]string
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	raw, err := readAll(r)
	if err != nil || json.Unmarshal(raw, &in) != nil || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20*time.Millisecond + time.Duration(len(in.Workers))*2*time.Millisecond)
	allowed := [][]string{}
	for _, id := range in.Workers {
		if ticket := a.allowed[id]; ticket != "" {
			allowed = append(allowed, []string{id, ticket})
		}
	}
	a.log.line("advice on %s: asked about %d minions, %d allowed", in.Step, len(in.Workers), len(allowed))
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": 3000})
}

// advice has 36 minions of which the advisor allows two. One of them is lost for good.
func advice(log *record, trouble bool) bool {
	s := newSystem(log)
	a := &advisor{log: log, allowed: map[string]string{}}
	l, err := net.Listen("tcp", freeAddr())
	if err != nil {
		fail("listen for the advisor: %v", err)
	}
	go func() { _ = http.Serve(l, a) }()
	s.advisor = l.Addr().String()
	s.configure()
	for i := range 3 {
		s.addEntry(i + 1)
	}
	for i := range 36 {
		m := s.addMinion(i+1, "a", rackOf(i+1), minionSize)
		m.ticket = "none"
		if i+1 == 2 || i+1 == 9 {
			m.ticket = "t-" + m.id
			a.allowed[m.id] = m.ticket
		}
	}
	s.awaitReady()
	defer s.stop()
	work := step{Count: 2, CPU: 5600, MemMB: 11000, GPU: 1, EstimatedMs: 2000, work: constant(2 * time.Second)}
	jobs := []*job{s.submit(jobID(0), work)}
	time.Sleep(5 * time.Second)
	if trouble {
		s.fleet.minions[1].crash()
	}
	time.Sleep(12 * time.Second)
	for i := range 3 {
		jobs = append(jobs, s.submit(jobID(1+i), work))
		time.Sleep(time.Second)
	}
	return len(s.idleJobs(jobs, time.Now())) == 0
}

// sameRack has long-running tasks with 3 GPUs on each of 13 minions, four in the first rack and
// three in each other one. Gangs of four tasks with 4 GPUs each fit into the first rack alone,
// until it loses a minion.
func sameRack(log *record, trouble bool) bool {
	s := newSystem(log)
	s.configure()
	for i := range 3 {
		s.addEntry(i + 1)
	}
	for i := range 13 {
		s.addMinion(i+1, "a", fmt.Sprintf("r1-%d", max(0, i-1)/3), minionSize)
	}
	s.awaitReady()
	defer s.stop()
	s.submit(jobID(90), step{Count: 13, CPU: 1000, MemMB: 1000, GPU: 3, PerServer: 1, LongRunning: true, EstimatedMs: 60000, work: constant(time.Hour)})
	time.Sleep(4 * time.Second)
	gang := step{Count: 4, CPU: 1000, MemMB: 1000, GPU: 4, Gang: true, SameRack: true, EstimatedMs: 2000, work: constant(2 * time.Second)}
	jobs := []*job{s.submit(jobID(0), gang)}
	time.Sleep(5 * time.Second)
	if trouble {
		s.fleet.minions[0].crash()
	}
	time.Sleep(12 * time.Second)
	jobs = append(jobs, s.submit(jobID(1), gang))
	return len(s.idleJobs(jobs, time.Now())) == 0
}
