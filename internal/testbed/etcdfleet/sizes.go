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

// MeasureSizes measures the cost of an agent and its ingress for each number of nodes, without traffic: the time from the agent's start
// until it serves all nodes, its memory when idle, and CPU and memory of both while 1% of the nodes change per second.
func MeasureSizes(sizes []int, length time.Duration, seed uint64, dir string, spawn testbed.Spawn, w io.Writer) error {
	fmt.Fprintf(w, "%d cores, one etcd member, %v per size, 1%% of the nodes changed per second in ten transactions, seed %d\n", runtime.NumCPU(), length, seed)
	fmt.Fprintln(w, "| nodes | all served after | agent memory, idle | agent CPU, of one core | agent memory | ingress CPU, of one core | ingress memory | changes |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range sizes {
		if err := measureSize(n, length, seed, filepath.Join(dir, fmt.Sprint(n)), spawn, w); err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
	}
	return nil
}

// maxServeTime limits the wait until an agent serves all nodes; idleTime is the wait before its idle memory is read.
const (
	maxServeTime = time.Minute
	idleTime     = 3 * time.Second
)

// measureSize measures an agent and an ingress with n nodes in etcd, and prints a row of the table.
func measureSize(n int, length time.Duration, seed uint64, dir string, spawn testbed.Spawn, w io.Writer) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	cluster, err := etcdstandin.New()
	if err != nil {
		return err
	}
	defer cluster.Close()
	cluster.Do(sizeNodes(n))
	listen, err := testbed.FreeAddr()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "agent.toml")
	text := fmt.Sprintf("listen = %q\nstate = %q\nprefix = %q\nendpoints = [\"http://%s\"]\n", listen, filepath.Join(dir, "state"), prefix, cluster.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var agent *testbed.Proc
	served := time.Duration(0)
	cfg := testbed.FleetConfig{Forwarders: 1, Nodes: 1, Classes: testbed.LabClasses, Plans: testbed.LabPlans, Node: testbed.LabNode, Seed: seed, Dir: dir, Spawn: spawn,
		MemoryMB: 512, Sockets: 256, Direct: true}
	cfg.Discovery = func(f *testbed.Fleet, _ string) (string, error) {
		agent = f.NewProc("agent", "agent", file)
		served, err = startServing(agent, listen, n)
		return listen, err
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
	time.Sleep(idleTime)
	ingress := f.Forwarders[0]
	idle := agent.RSS()
	agentCPU, ingressCPU, began := agent.CPU(), ingress.CPU(), time.Now()
	changes := toggleDrains(cluster, n, length, seed)
	spent := time.Since(began).Seconds()
	fmt.Fprintf(w, "| %d | %v | %.1f MB | %.2f%% | %.1f MB | %.2f%% | %.1f MB | %d |\n", n, served.Round(time.Millisecond), mb(idle),
		100*(agent.CPU()-agentCPU).Seconds()/spent, mb(agent.RSS()), 100*(ingress.CPU()-ingressCPU).Seconds()/spent, mb(ingress.RSS()), changes)
	return nil
}

// sizeNodes returns the etcd keys and values of n nodes. Nothing listens at their addresses, as there is no traffic.
func sizeNodes(n int) map[string]string {
	nodes := map[string]string{}
	for i := range n {
		nodes[fmt.Sprintf("%snodes/n%05d", prefix, i)] = fmt.Sprintf(`{"addr":"127.0.0.%d:%d","zone":"a","weight":1}`, 2+i/30000, 1000+i%30000)
	}
	return nodes
}

// startServing starts an agent and returns how long it took until it served n nodes.
func startServing(agent *testbed.Proc, listen string, n int) (time.Duration, error) {
	began := time.Now()
	if err := agent.Start(); err != nil {
		return 0, err
	}
	for servedNodes(listen) < n {
		if served := time.Since(began); served > maxServeTime {
			return 0, fmt.Errorf("agent serves %d of %d nodes after %v", servedNodes(listen), n, served)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began), nil
}

// toggleDrains sets or removes the drain marks of a thousandth of the nodes ten times a second, for the given length. It returns
// the number of changes.
func toggleDrains(cluster *etcdstandin.Cluster, n int, length time.Duration, seed uint64) (changes int) {
	rng := rand.New(rand.NewPCG(seed, 7))
	marked := map[int]bool{}
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for began := time.Now(); time.Since(began) < length; <-tick.C {
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
		changes += len(values)
		cluster.Do(values)
	}
	return changes
}

func mb(bytes int64) float64 { return float64(bytes) / (1 << 20) }

// servedNodes returns the number of nodes that an agent serves, 0 on an error.
func servedNodes(addr string) int {
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
