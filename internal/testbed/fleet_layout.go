package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"eiderspread/policy"
)

// makeSettings returns the settings of program number me, with classes and plans in the format of the platform.
func makeSettings(cfg FleetConfig, me int, peers bool) map[string]any {
	effects := map[policy.Idempotency]string{policy.Idempotent: "retryable", policy.KeyedIdempotent: "dedup", policy.NonIdempotent: "fragile"}
	scopes := map[policy.KeyScope]string{policy.ScopeAll: "all", policy.ScopeZone: "zone", policy.ScopeCell: "cell"}
	var profiles, packages []map[string]any
	for _, c := range cfg.Classes {
		profiles = append(profiles, map[string]any{"name": c.Name, "aimS": c.LatencyObjectiveS, "deadlineS": c.DeadlineS,
			"effect": effects[c.Idempotency], "keyScope": scopes[c.KeyScope], "keyTtlS": c.KeyTTLS, "worth": c.PriorityWeight})
	}
	for _, p := range cfg.Plans {
		packages = append(packages, map[string]any{"name": p.Name, "unitsPerS": p.Rate, "peakUnits": p.Burst,
			"parallel": p.MaxConcurrency, "pays": p.Weight, "hardRate": p.HardLimitRate, "capDepth": p.HardLimitBurst,
			"ceilingSlack": p.HardLimitSlack, "excessCost": 1.0})
	}
	return map[string]any{"balancers": cfg.Forwarders, "me": me, "myZone": "a",
		"familyInfo": map[string]any{"maxUnits": 6, "peerIntake": 40.0}, "feedback": map[string]any{"how": "answers"},
		"limits": map[string]any{"cancel": true, "connIdleS": 15.0, "dialTimeoutS": 0.25, "maxAttempts": MaxAttempts,
			"maxRetryAfterS": 1.0, "mostHeld": 20000, "peerMessages": peers, "retryAfter": true},
		"profiles": profiles, "packages": packages, "tickS": 0.004,
		"rules": map[string]any{"answerSlackS": 0.05, "coldFrom": StatedSlowStartMinFraction, "coldS": StatedSlowStartS, "fallMultiple": StatedFallMultiple,
			"fallS": StatedFallS}}
}

// writeBaseConfig writes the configuration that the platform gives a program, and returns its path. number is the number of the program, peers
// has the addresses of all ingresses of a one-level fleet.
func (f *Fleet) writeBaseConfig(name string, number int, listen string, peers []string) (string, error) {
	openDiscovery := f.Discovery.For
	if f.cfg.Discovery != nil {
		openDiscovery = func(party string) (string, error) { return f.cfg.Discovery(f, party) }
	}
	discovery, err := openDiscovery(name)
	if err != nil {
		return "", err
	}
	c := map[string]any{"name": name, "listen": listen, "discovery": discovery,
		"seed": fmt.Sprintf("%016x", f.cfg.Seed*1000+uint64(number)+1), "limits": map[string]any{"memory_mb": max(f.cfg.MemoryMB, 64), "sockets": max(f.cfg.Sockets, 512)},
		"known": f.Discovery.All(name), "settings": makeSettings(f.cfg, number, len(peers) > 0)}
	if len(peers) > 0 {
		c["peer_listen"], c["peers"] = peers[number], peers
	}
	return f.writeJSON(name+".json", c)
}

func (f *Fleet) writeJSON(name string, v any) (string, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.cfg.Dir, name)
	return path, os.WriteFile(path, text, 0o600)
}

// addOneLevelPrograms adds the ingresses of a one-level fleet, with the network between them.
func (f *Fleet) addOneLevelPrograms() error {
	var peers []string
	for range f.cfg.Forwarders {
		c, err := net.ListenPacket("udp", hostAddr(0))
		if err != nil {
			return err
		}
		defer c.Close()
		peers = append(peers, c.LocalAddr().String())
	}
	var err error
	if f.Peers, err = NewPeerNet(peers, f.cfg.Seed); err != nil {
		return err
	}
	for i := range f.cfg.Forwarders {
		listen, err := freeAddr()
		if err != nil {
			return err
		}
		file, err := f.writeBaseConfig(f.Observer(i), i, listen, f.Peers.Peers(i))
		if err != nil {
			return err
		}
		status := ""
		if f.cfg.Operator != "" {
			if status, err = freeAddr(); err != nil {
				return err
			}
			text := fmt.Sprintf("status = %q\n%s", status, f.cfg.Operator)
			if err := os.WriteFile(filepath.Join(f.cfg.Dir, f.Observer(i)+".toml"), []byte(text), 0o600); err != nil {
				return err
			}
		}
		p := f.newProc("ingress", f.Observer(i), file, listen, status)
		if err := f.addAdminInterfaces(p, "ingress", file, nil); err != nil {
			return err
		}
		f.Forwarders = append(f.Forwarders, p)
	}
	return nil
}

func (f *Fleet) newProc(kind, name, file, listen, status string) *Proc {
	return &Proc{Name: name, Listen: listen, Status: status, log: filepath.Join(f.cfg.Dir, name+".log"),
		cmd: func() *exec.Cmd { return f.cfg.Spawn(kind, file) }}
}

// commonConfig returns the lines that the operator's files of planners and forwarders have in common.
func (f *Fleet) commonConfig(number int, base, status string) string {
	p := f.cfg.Params
	return fmt.Sprintf("fleet = \"lab\"\nnumber = %d\nforwarders = %d\nplanners = %d\ncells = %d\nlease_ms = %g\nbeat_ms = %g\n"+
		"silence_ms = %g\nwait_ms = %g\nfailsafe_ms = %g\nbase = %q\nstatus = %q\n", number, f.cfg.Forwarders, f.cfg.Planners,
		p.Cells, p.LeaseS*1e3, p.HeartbeatS*1e3, p.LinkTimeoutS*1e3, p.LeaderWaitS*1e3, p.FailsafeDelayS*1e3, base, status)
}

// addTwoLevelPrograms adds the planners of a two-level fleet, with the links to them, and its forwarders.
func (f *Fleet) addTwoLevelPrograms() error {
	f.cfg.Params.Name, f.cfg.Params.Forwarders, f.cfg.Params.Planners = "lab", f.cfg.Forwarders, f.cfg.Planners
	if err := f.cfg.Params.Check(); err != nil {
		return err
	}
	for i := range f.cfg.Planners {
		if err := f.addPlanner(i); err != nil {
			return err
		}
	}
	for i := range f.cfg.Forwarders {
		if err := f.addForwarder(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addPlanner(i int) error {
	name := "p" + strconv.Itoa(i)
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	status, err := freeAddr()
	if err != nil {
		return err
	}
	base, err := f.writeBaseConfig(name, i, listen, nil)
	if err != nil {
		return err
	}
	file := filepath.Join(f.cfg.Dir, name+".toml")
	console, err := freeAddr()
	if err != nil {
		return err
	}
	text := f.commonConfig(i, base, status) + fmt.Sprintf("listen = %q\n", listen)
	if f.cfg.Params.LeaseS <= maxAdminLeaseS {
		text += fmt.Sprintf("console = %q\n", console)
	}
	if err := os.WriteFile(file, []byte(text+f.cfg.Operator), 0o600); err != nil {
		return err
	}
	p := f.newProc("planner", name, file, listen, status)
	p.adminInterfaces = [2]adminInterface{{console, file}, {console, file}}
	f.Planners = append(f.Planners, p)
	var links []*Link
	for range f.cfg.Forwarders {
		link, err := NewLink(listen)
		if err != nil {
			return err
		}
		links = append(links, link)
	}
	f.Links = append(f.Links, links)
	return nil
}

func (f *Fleet) addForwarder(i int) error {
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	status, err := freeAddr()
	if err != nil {
		return err
	}
	base, err := f.writeBaseConfig(f.Observer(i), i, listen, nil)
	if err != nil {
		return err
	}
	var planners []string
	for _, links := range f.Links {
		planners = append(planners, strconv.Quote(links[i].Addr()))
	}
	p := f.newProc("forwarder", f.Observer(i), "", listen, status)
	err = f.addAdminInterfaces(p, "forwarder", base, func(n int, base string) (string, error) {
		file := filepath.Join(f.cfg.Dir, fmt.Sprintf("%s-%d.toml", f.Observer(i), n))
		text := f.commonConfig(i, base, status) + "planners_at = [" + strings.Join(planners, ", ") + "]\n"
		return file, os.WriteFile(file, []byte(text), 0o600)
	})
	if err != nil {
		return err
	}
	f.Forwarders = append(f.Forwarders, p)
	return nil
}

// openFront opens the links from clients to the ingresses, unless the fleet is Direct, and makes the front.
func (f *Fleet) openFront() error {
	var addrs []string
	var front *Front
	for i, p := range f.Forwarders {
		addr := p.Listen
		if !f.cfg.Direct {
			k, err := NewLinkWith(addr, Hooks{Unreached: func(near string) { front.noteUnreached(near) }})
			if err != nil {
				return fmt.Errorf("link to forwarder %d: %w", i, err)
			}
			f.FrontLinks = append(f.FrontLinks, k)
			addr = k.Addr()
		}
		addrs = append(addrs, addr)
	}
	front = NewFront(f.Hist, addrs, func(i int) int { return f.Forwarders[i].Incarnation() }, f.cfg.Seed)
	front.leaves = func(i int) bool { return f.Forwarders[i].TerminatingFor() > leaveAfter }
	f.Front = front
	return nil
}
