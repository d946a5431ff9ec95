// Package etcdfleet supplies a test fleet with membership from etcd: a stand-in cluster of several members, one membership
// agent per program, and relays between agents and programs that record the lists each program receives. Its fault kinds break
// etcd while the fleet serves requests.
package etcdfleet

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"eiderspread/internal/membership/discovery"
	"eiderspread/internal/testbed"
	"eiderspread/internal/testbed/certs"
	"eiderspread/internal/testbed/etcdstandin"
	"eiderspread/internal/testbed/oracle"
)

const (
	prefix    = "/eiderspread/lab/"
	user      = "membershipagent"
	password  = "snow on the tracks"
	staleMS   = 1200
	electionS = 0.3 // election time of the stand-in, seconds
)

// Rig is the membership source of one fleet. It is safe for concurrent use.
type Rig struct {
	Etcd           *etcdstandin.Cluster
	SelectedFaults []string // etcd faults to choose from, see FaultNames; empty: all. Set before a run

	hist      *oracle.History
	links     [2][]*testbed.Link // a link to each member, for agents with even and with odd numbers
	authority *certs.Authority
	dir       string
	mu        sync.Mutex
	agents    []*agentProc
	nodes     map[string]string // etcd values of the listed nodes, by ID
	marks     map[string]bool
	starts    map[string]int64  // start times of nodes, Unix milliseconds
	unlisted  map[string]string // etcd values of nodes that are temporarily removed from etcd
	stored    map[string]string // state of each node in etcd, as last recorded in hist
	injected  map[string]int    // number of injected faults, by name
}

// agentProc is one membership agent and its process.
type agentProc struct {
	observer string
	side     int
	listen   string // address of the agent's API
	status   string
	file     string
	proc     *testbed.Proc
	turn     int // number of configuration files written; each rotates the endpoints by one
}

// New starts a stand-in cluster with the given number of members. Its files are written into dir.
func New(dir string, members int) (*Rig, error) {
	r := &Rig{dir: dir, nodes: map[string]string{}, marks: map[string]bool{}, starts: map[string]int64{}, unlisted: map[string]string{}, stored: map[string]string{}, injected: map[string]int{}}
	var err error
	if r.authority, err = certs.New(dir, "laboratory"); err != nil {
		return nil, err
	}
	id, err := r.authority.Issue("etcd")
	if err != nil {
		return nil, err
	}
	tls, err := id.Config()
	if err != nil {
		return nil, err
	}
	r.Etcd, err = etcdstandin.Open(etcdstandin.Config{Members: members, TLS: tls, Users: map[string]string{user: password}, TokenTTL: 20 * time.Second,
		Election: time.Duration(electionS * float64(time.Second)), RequestTimeout: time.Second, FragmentBytes: 400, BatchRevs: 3})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "password"), []byte(password+"\n"), 0o600); err != nil {
		return nil, err
	}
	for side := range r.links {
		for _, addr := range r.Etcd.Addrs() {
			k, err := testbed.NewLink(addr)
			if err != nil {
				return nil, err
			}
			r.links[side] = append(r.links[side], k)
		}
	}
	return r, nil
}

// ConfigureFleet makes the rig the membership source of a fleet.
func (r *Rig) ConfigureFleet(cfg *testbed.FleetConfig) {
	cfg.OneAddr, cfg.Discovery, cfg.Source, cfg.StaleS = true, r.discovery, r.source, 2.5
}

// Close stops the agents, the links and the cluster.
func (r *Rig) Close() {
	r.mu.Lock()
	agents := slices.Clone(r.agents)
	r.mu.Unlock()
	for _, a := range agents {
		a.proc.Kill()
	}
	for _, side := range r.links {
		for _, k := range side {
			k.Close()
		}
	}
	r.Etcd.Close()
}

// ---- what etcd holds ----

// change writes values to etcd in one revision and records the states of the nodes ids. A state that becomes in_service is
// recorded before the write, as agents may report it immediately; any other state is recorded after the write. r.mu is held.
func (r *Rig) change(ids []string, values map[string]string) {
	for _, id := range ids {
		if r.etcdState(id) == "in_service" {
			r.recordStored(id)
		}
	}
	r.Etcd.Do(values)
	for _, id := range ids {
		r.recordStored(id)
	}
}

// etcdState returns the state of a node that follows from the rig's own record of what it wrote to etcd. r.mu is held.
func (r *Rig) etcdState(id string) string {
	_, listed := r.nodes[id]
	switch {
	case r.marks[id]:
		return "terminating"
	case listed:
		return "in_service"
	case r.stored[id] != "" && r.stored[id] != "marked":
		return "terminated"
	}
	return ""
}

func (r *Rig) recordStored(id string) {
	if now := r.etcdState(id); now != r.stored[id] {
		r.stored[id] = now
		if r.hist != nil {
			r.hist.SourceChanged(oracle.EtcdSource, id, now, r.starts[id])
		}
	}
}

// source applies a state change of a node. A drain is announced, by a hash of the node's ID, to discovery only, to etcd and discovery,
// or to etcd only, a third of the nodes each. in_service and terminated go to both.
func (r *Rig) source(f *testbed.Fleet, t discovery.Endpoint) (toDiscovery bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hist == nil {
		r.hist = f.Hist
	}
	t.Addr = f.AddrFor("", t)
	n, d := prefix+"nodes/"+t.ID, prefix+"drain/"+t.ID
	if r.starts[t.ID] != t.StartedMS && t.State == "in_service" {
		r.starts[t.ID], r.stored[t.ID] = t.StartedMS, "" // a new incarnation: the state recorded for the previous one does not apply
	}
	delete(r.unlisted, t.ID) // this change supersedes a temporary removal
	where := sha256.Sum256([]byte(t.ID))[0] % 3
	switch t.State {
	case "in_service":
		value, _ := json.Marshal(map[string]any{"addr": t.Addr, "zone": t.Zone, "weight": t.Weight, "started_ms": t.StartedMS})
		r.nodes[t.ID] = string(value)
		delete(r.marks, t.ID)
		r.change([]string{t.ID}, map[string]string{n: string(value), d: ""})
	case "terminated":
		delete(r.nodes, t.ID)
		delete(r.marks, t.ID)
		r.change([]string{t.ID}, map[string]string{n: "", d: ""})
	default:
		if where == 0 {
			return true
		}
		r.marks[t.ID] = true
		r.change([]string{t.ID}, map[string]string{d: "{}"})
		return where == 1
	}
	return true
}

// mark sets or removes the drain marks of nodes in one transaction.
func (r *Rig) mark(on bool, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := map[string]string{}
	var own []string
	for _, id := range ids {
		_, known := r.nodes[id]
		known = known || r.unlisted[id] != ""
		if !known && r.stored[id] != "" {
			continue // the node is terminated
		}
		if known {
			own = append(own, id)
		}
		if on {
			if known {
				r.marks[id] = true
			}
			values[prefix+"drain/"+id] = "{}"
		} else {
			delete(r.marks, id)
			values[prefix+"drain/"+id] = ""
		}
	}
	r.change(own, values)
}

// unlist removes a node from etcd, or adds it again unless it changed state in the meantime.
func (r *Rig) unlist(id string, off bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, listed := r.nodes[id]
	switch {
	case off && listed:
		delete(r.nodes, id)
		r.unlisted[id] = value
		r.change([]string{id}, map[string]string{prefix + "nodes/" + id: ""})
	case !off && r.unlisted[id] != "":
		r.nodes[id] = r.unlisted[id]
		delete(r.unlisted, id)
		r.change([]string{id}, map[string]string{prefix + "nodes/" + id: r.nodes[id]})
	}
}

// expectedKVs returns the keys that etcd should hold, for a cluster that is replaced or restored. r.mu is held.
func (r *Rig) expectedKVs() (kvs []etcdstandin.KV) {
	for id, v := range r.nodes {
		kvs = append(kvs, etcdstandin.KV{Key: prefix + "nodes/" + id, Value: v, Revision: 2})
	}
	for id := range r.marks {
		kvs = append(kvs, etcdstandin.KV{Key: prefix + "drain/" + id, Value: "{}", Revision: 2})
	}
	return kvs
}

// ---- agents and relays ----

// writeConfig writes the agent's configuration file with a new certificate and its endpoints in the next order.
func (r *Rig) writeConfig(a *agentProc) error {
	id, err := r.authority.Issue(a.observer + "-" + strconv.Itoa(a.turn))
	if err != nil {
		return err
	}
	var endpoints []string
	for _, k := range r.links[a.side] {
		endpoints = append(endpoints, strconv.Quote("https://"+k.Addr()))
	}
	n := a.turn % len(endpoints)
	endpoints = append(endpoints[n:], endpoints[:n]...)
	a.turn++
	text, err := os.ReadFile(a.file + ".head")
	if err != nil {
		return err
	}
	head := string(text) + fmt.Sprintf("endpoints = [%s]\n[tls]\ncert = %q\nkey = %q\nca = %q\n", strings.Join(endpoints, ", "), id.Cert, id.Key, id.CA)
	return os.WriteFile(a.file, []byte(head), 0o600)
}

// discovery starts the agent of a program (party), and returns the address of the relay that the program connects to.
func (r *Rig) discovery(f *testbed.Fleet, party string) (string, error) {
	rosterAddr, err := f.Discovery.For(oracle.DiscoverySource(party))
	if err != nil {
		return "", err
	}
	a := &agentProc{observer: party, file: filepath.Join(r.dir, "agent-"+party+".toml")}
	n, _ := strconv.Atoi(party[1:])
	a.side = n % 2
	if a.listen, err = testbed.FreeAddr(); err != nil {
		return "", err
	}
	if a.status, err = testbed.FreeAddr(); err != nil {
		return "", err
	}
	head := fmt.Sprintf("listen = %q\nstatus = %q\nroster = %q\nstate = %q\nprefix = %q\nuser = %q\npassword_file = %q\n"+
		"progress_ms = 300\nstale_ms = %d\nroster_stale_ms = 5000\norphan_ms = 60000\ntimeout_ms = 1000\nretry_ms = 600\nflap_ms = 1\nflap_most_ms = 1\n",
		a.listen, a.status, rosterAddr, filepath.Join(r.dir, "agent-"+party+".state"), prefix, user, filepath.Join(r.dir, "password"), staleMS)
	if err := os.WriteFile(a.file+".head", []byte(head), 0o600); err != nil {
		return "", err
	}
	if err := r.writeConfig(a); err != nil {
		return "", err
	}
	a.proc = f.NewProc("agent", "agent-"+party, a.file)
	if err := a.proc.Start(); err != nil {
		return "", err
	}
	r.mu.Lock()
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if l, err := a.fetchList(); err == nil && len(l.Endpoints) > 0 {
			break
		}
		if time.Now().After(end) {
			return "", fmt.Errorf("agent of %s: no endpoints listed within 20 s of its start", party)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, &relay{f.Hist, party, a.listen}) }()
	return l.Addr().String(), nil
}

// fetchList returns the agent's current list, bypassing the relay.
func (a *agentProc) fetchList() (l discovery.List, err error) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + a.listen + "/api/targets")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("agent %s: got status %s, expected 200", a.listen, resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// relay forwards an agent's responses to its program and records each list and the time in the history.
type relay struct {
	hist     *oracle.History
	observer string
	target   string
}

func (y *relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	req, err := http.NewRequestWithContext(q.Context(), q.Method, "http://"+y.target+q.URL.RequestURI(), nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		return
	}
	flush := http.NewResponseController(w)
	for in := bufio.NewReader(resp.Body); ; {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var l discovery.List
		known := json.Unmarshal(line, &l) == nil
		if known {
			testbed.RecordUp(y.hist, y.observer, l)
		}
		if _, err := w.Write(line); err != nil || flush.Flush() != nil {
			return
		}
		if known && (l.Full || len(l.Endpoints) > 0) {
			testbed.RecordAbsent(y.hist, y.observer, l)
		}
	}
}

// ---- views of the agents ----

// expectedUp returns the sorted IDs of the nodes that a party should list as in_service, given the states in etcd and those
// announced to the party by discovery: at least one source says in_service, and none says otherwise.
func (r *Rig) expectedUp(party string, discoveryStates map[string]string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := map[string]bool{}
	for id := range r.stored {
		ids[id] = true
	}
	for id := range discoveryStates {
		ids[id] = true
	}
	var up []string
	for id := range ids {
		etcdState, discoveryState := r.stored[id], discoveryStates[id]
		if (etcdState == "in_service" || discoveryState == "in_service") && (etcdState == "" || etcdState == "in_service") && (discoveryState == "" || discoveryState == "in_service") {
			up = append(up, id)
		}
	}
	sort.Strings(up)
	return strings.Join(up, " ")
}

// discoveryStates returns the last state of each node that each observer received, by observer and node ID.
func (r *Rig) discoveryStates() map[string]map[string]string {
	defer r.hist.Lock()()
	all := map[string]map[string]string{}
	for _, t := range r.hist.Notices {
		if all[t.Observer] == nil {
			all[t.Observer] = map[string]string{}
		}
		all[t.Observer][t.Node] = t.State
	}
	return all
}

const maxConvergence = 15 * time.Second

// awaitConvergence waits until every agent's list equals what the sources hold, and records how long that took, or after
// maxConvergence the last mismatch.
func (r *Rig) awaitConvergence(ctx context.Context, fault string) {
	began := time.Now()
	r.mu.Lock()
	remaining := slices.Clone(r.agents)
	r.mu.Unlock()
	mismatch := ""
	for time.Since(began) < maxConvergence && ctx.Err() == nil {
		states := r.discoveryStates()
		remaining = slices.DeleteFunc(remaining, func(a *agentProc) bool {
			l, err := a.fetchList()
			if err != nil {
				mismatch = a.observer + ": " + err.Error()
				return false
			}
			var up []string
			for _, t := range l.Endpoints {
				if t.State == "in_service" {
					up = append(up, t.ID)
				}
			}
			sort.Strings(up)
			want := r.expectedUp(a.observer, states[oracle.DiscoverySource(a.observer)])
			mismatch = fmt.Sprintf("%s lists %v as in service, expected [%s]", a.observer, up, want)
			return strings.Join(up, " ") == want
		})
		if len(remaining) == 0 {
			r.hist.AddViewCheck(oracle.ViewCheck{Fault: fault, At: r.hist.Now(), Convergence: time.Since(began)})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	if ctx.Err() == nil {
		r.hist.AddViewCheck(oracle.ViewCheck{Fault: fault, At: r.hist.Now(), Convergence: time.Since(began), Mismatch: mismatch})
	}
}

// sourceStatus is the etcd part of an agent's status.
type sourceStatus struct {
	Etcd struct {
		Reads, Repeats, Compacted, Replaced, Refused, Breaks int
	} `json:"etcd"`
}

// Print writes the injected faults, the counters of etcd and the agents, and the convergence times.
func (r *Rig) Print(w io.Writer) {
	var sum sourceStatus
	for _, a := range r.agents {
		client := http.Client{Timeout: time.Second}
		resp, err := client.Get("http://" + a.status + "/")
		if err != nil {
			continue
		}
		var st sourceStatus
		_ = json.NewDecoder(resp.Body).Decode(&st)
		resp.Body.Close()
		sum.Etcd.Reads += st.Etcd.Reads
		sum.Etcd.Compacted += st.Etcd.Compacted
		sum.Etcd.Replaced += st.Etcd.Replaced
		sum.Etcd.Refused += st.Etcd.Refused
		sum.Etcd.Breaks += st.Etcd.Breaks
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for k, n := range r.injected {
		list = append(list, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(list)
	fmt.Fprintf(w, "injected faults of etcd: %s\n", strings.Join(list, ", "))
	n := r.Etcd.Counts()
	fmt.Fprintf(w, "etcd: %d reads, %d watches, %d leader changes; agents (since their last start): %d full reads, %d broken sessions, "+
		"%d compacted watches, %d replaced clusters, %d stale answers rejected\n", n.Reads, n.Watches, n.LeaderChanges, sum.Etcd.Reads, sum.Etcd.Breaks,
		sum.Etcd.Compacted, sum.Etcd.Replaced, sum.Etcd.Refused)
	var took []time.Duration
	unlock := r.hist.Lock()
	for _, v := range r.hist.ViewChecks {
		if v.Mismatch == "" {
			took = append(took, v.Convergence)
		}
	}
	unlock()
	if len(took) > 0 {
		slices.Sort(took)
		fmt.Fprintf(w, "lists of all %d agents converged after %v in the median, %v at most, in %d checks\n", len(r.agents),
			took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
	}
}
