package etcdfleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/etcdstandin"
)

// Sizes measures what an agent and the ingress beside it cost by the number of nodes: the agent's start until it serves all of
// them, its memory then, and with one node in a hundred changed a second CPU and memory of both, without traffic.
func Sizes(sizes []int, length time.Duration, seed uint64, dir string, spawn testbed.Spawn, w io.Writer) error {
	fmt.Fprintf(w, "%d cores, one member, %v a size, 1%% of the nodes changed a second in ten transactions, seed %d\n", runtime.NumCPU(), length, seed)
	fmt.Fprintln(w, "| nodes | served after | agent idle | agent, CPU of a core | agent, memory | ingress, CPU of a core | ingress, memory | told |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range sizes {
		if err := size(n, length, seed, filepath.Join(dir, fmt.Sprint(n)), spawn, w); err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
	}
	return nil
}

func size(n int, length time.Duration, seed uint64, dir string, spawn testbed.Spawn, w io.Writer) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	c, err := etcdstandin.New()
	if err != nil {
		return err
	}
	defer c.Close()
	all := map[string]string{}
	for i := range n { // nobody connects to them: there is no traffic
		all[fmt.Sprintf("%snodes/n%05d", prefix, i)] = fmt.Sprintf(`{"addr":"127.0.0.%d:%d","zone":"a","weight":1}`, 2+i/30000, 1000+i%30000)
	}
	c.Do(all)
	listen, err := testbed.FreeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "agent.toml")
	text := fmt.Sprintf("listen = %q\nstate = %q\nprefix = %q\nendpoints = [\"http://%s\"]\n", listen, filepath.Join(dir, "state"), prefix, c.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var agent *testbed.Proc
	served := time.Duration(0)
	cfg := testbed.FleetConfig{Forwarders: 1, Nodes: 1, Classes: testbed.LabClasses, Plans: testbed.LabPlans, Node: testbed.LabNode, Seed: seed, Dir: dir, Spawn: spawn,
		MemoryMB: 512, Sockets: 256, Direct: true}
	cfg.Discovery = func(f *testbed.Fleet, _ string) (string, error) {
		agent = f.NewProc("agent", "agent", file)
		began := time.Now()
		if err := agent.Start(); err != nil {
			return "", err
		}
		for count(listen) < n {
			if served = time.Since(began); served > time.Minute {
				return "", fmt.Errorf("%d nodes are served after %v", count(listen), served)
			}
			time.Sleep(time.Millisecond)
		}
		served = time.Since(began)
		return listen, nil
	}
	f, err := testbed.StartFleet(cfg)
	defer func() {
		f.Stop()
		if agent != nil {
			agent.Kill()
		}
	}()
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	idle := agent.RSS()
	ac, ic, began := agent.CPU(), f.Forwarders[0].CPU(), time.Now()
	rng := rand.New(rand.NewPCG(seed, 7))
	marked, told := map[int]bool{}, 0
	for tick := time.NewTicker(100 * time.Millisecond); time.Since(began) < length; <-tick.C {
		values := map[string]string{}
		for range max(1, n/1000) {
			i := rng.IntN(n)
			key := fmt.Sprintf("%sdrain/n%05d", prefix, i)
			if _, twice := values[key]; twice {
				continue
			}
			if marked[i] = !marked[i]; marked[i] {
				values[key] = "{}"
			} else {
				values[key] = ""
			}
		}
		told += len(values)
		c.Do(values)
	}
	spent := time.Since(began).Seconds()
	fmt.Fprintf(w, "| %d | %v | %.1f MB | %.2f%% | %.1f MB | %.2f%% | %.1f MB | %d |\n", n, served.Round(time.Millisecond), mb(idle),
		100*(agent.CPU()-ac).Seconds()/spent, mb(agent.RSS()), 100*(f.Forwarders[0].CPU()-ic).Seconds()/spent, mb(f.Forwarders[0].RSS()), told)
	return nil
}

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// count is how many nodes an agent serves.
func count(addr string) int {
	client := http.Client{Timeout: 10 * time.Second}
	r, err := client.Get("http://" + addr + "/api/targets")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	var l struct{ Servers []json.RawMessage }
	_ = json.NewDecoder(r.Body).Decode(&l)
	return len(l.Servers)
}
