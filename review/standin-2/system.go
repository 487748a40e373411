package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// system runs the project's programs as the deploy file says.
type system struct {
	log       *record
	dir       string
	storeAddr string
	bounds    map[string]any
	// net is the first part of the loopback addresses of the machines.
	net      string
	machines int
	procs    []*exec.Cmd
	entries  []*machine
	// byControl holds the agents by the address at which their minion registers.
	byControl map[string]*exec.Cmd
}

type machine struct {
	node, ip, front, ready, control string
}

func newSystem(log *record, storeAddr string, bounds map[string]any) (*system, error) {
	dir, err := os.MkdirTemp("", "review2-")
	s := &system{log: log, dir: dir, storeAddr: storeAddr, bounds: bounds, byControl: map[string]*exec.Cmd{}}
	s.net = fmt.Sprintf("127.%d.%d.", 2+rand.Intn(250), rand.Intn(256))
	return s, err
}

// machine returns a new machine.
func (s *system) machine(class, zone string) *machine {
	s.machines++
	return &machine{node: fmt.Sprintf("%s-%s-%d", class, zone, s.machines), ip: fmt.Sprintf("%s%d", s.net, s.machines)}
}

// start starts a role on a new machine.
func (s *system) start(role, class, zone string) (*machine, error) {
	m := s.machine(class, zone)
	return m, s.startOn(m, role, class, zone, nil)
}

// startOn starts a role on a machine, with settings beside those of the template.
func (s *system) startOn(m *machine, role, class, zone string, more map[string]any) error {
	for _, addr := range []*string{&m.front, &m.ready, &m.control} {
		*addr = m.freeAddr()
	}
	fields := map[string]any{
		"node": m.node, "zone": zone, "region": strings.Split(zone, "-")[0], "ip": m.ip,
		"platform":          map[string]any{"address": s.storeAddr, "row_bytes": 65536},
		"internal_ports":    []any{7000, 7015},
		"limits":            map[string]any{"memory_mb": 284, "max_fds": 4100, "cpu_share": 0.4, "cores": 1},
		"listen_addrs":      map[string]any{"front": m.front, "ready_addr": m.ready, "control_plane": m.control},
		"placement_advisor": "", "bounds": s.bounds,
	}
	if class == "side" {
		fields["limits"] = map[string]any{"memory_mb": 152, "max_fds": 4096, "cpu_share": 0.24, "cores": 1}
	}
	words, template, err := deployed(role)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	all := map[string]any{}
	if err := json.Unmarshal([]byte(render(string(text), fields)), &all); err != nil {
		return err
	}
	maps.Copy(all, more)
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	settings := filepath.Join(s.dir, m.node+".json")
	if err := os.WriteFile(settings, raw, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.dir, m.node+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"LACEWINGPIER_CONFIG=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.procs = append(s.procs, cmd)
	s.byControl[m.control] = cmd
	s.log.line("%s starts on %s (%s)", role, m.node, m.ip)
	if class == "edge" {
		s.entries = append(s.entries, m)
	}
	return nil
}

func (m *machine) freeAddr() string {
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return m.ip + ":8521"
	}
	defer l.Close()
	return l.Addr().String()
}

// stop ends all processes that the system has started, and removes its folder.
func (s *system) stop() {
	for _, p := range s.procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// freeze lets an agent stand still for a time.
func (s *system) freeze(control string, d time.Duration) {
	agent := s.byControl[control].Process
	s.log.line("the agent at %s freezes for %v", control, d)
	_ = agent.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		s.log.line("the agent at %s goes on", control)
		_ = agent.Signal(syscall.SIGCONT)
	})
}

// awaitReady waits until all entries serve.
func (s *system) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, e := range s.entries {
		for {
			resp, err := http.Get("http://" + e.ready + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// deployed returns the command and the template of a role from the deploy file.
func deployed(role string) (words []string, template string, err error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	_, section, found := strings.Cut(string(raw), "[roles."+role+"]")
	if !found {
		return nil, "", fmt.Errorf("the deploy file has no role %s", role)
	}
	section, _, _ = strings.Cut(section, "\n[")
	value := func(name string) string {
		m := regexp.MustCompile(`(?m)^` + name + ` *= *"([^"]*)"`).FindStringSubmatch(section)
		if m == nil {
			return ""
		}
		return m[1]
	}
	return strings.Fields(value("run")), value("template"), nil
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholders = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)
)

// render fills in a template of the settings, as far as the project's templates need it.
func render(text string, fields map[string]any) string {
	text = sections.ReplaceAllStringFunc(text, func(found string) string {
		parts := sections.FindStringSubmatch(found)
		value := lookup(fields, parts[1])
		if value == nil {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return placeholders.ReplaceAllStringFunc(text, func(found string) string {
		parts := placeholders.FindStringSubmatch(found)
		value := lookup(fields, parts[1])
		if parts[2] != "" {
			raw, _ := json.Marshal(value)
			return string(raw)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookup(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			var i int
			if _, err := fmt.Sscan(name, &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
