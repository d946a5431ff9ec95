// Package etcdfleet is the laboratory's membership from etcd: a stand-in cluster of several members, an agent beside each
// program, and relays between agents and programs that note what each was told. Its faults break etcd while the fleet works.
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
	prefix   = "/eiderspread/lab/"
	user     = "membershipagent"
	secret   = "snow on the tracks"
	staleMS  = 1200
	etcdStar = 0.3 // seconds a leaderless etcd takes to elect
)

// Rig is the membership of one fleet. Its methods may be called by any goroutine.
type Rig struct {
	Etcd *etcdstandin.Cluster
	Only []string // troubles to choose from, of Troubles; none: all. Set before a run

	hist      *oracle.History
	links     [2][]*testbed.Link // to each member, for agents of even and of odd numbers
	authority *certs.Authority
	dir       string
	mu        sync.Mutex
	agents    []*beside
	nodes     map[string]string // values of nodes, by id
	marks     map[string]bool
	starts    map[string]int64  // of nodes, in Unix milliseconds
	off       map[string]string // values of nodes that etcd lists no more for a while
	stored    map[string]string // what etcd holds of each node, as the history was told
	met       map[string]int    // faults, by name
}

// beside is one agent.
type beside struct {
	observer string
	side     int
	listen   string // of the agent itself
	status   string
	file     string
	proc     *testbed.Proc
	turn     int // endpoints are given out in another order each time the file is written
}

// New starts a cluster of so many members.
func New(dir string, members int) (*Rig, error) {
	r := &Rig{dir: dir, nodes: map[string]string{}, marks: map[string]bool{}, starts: map[string]int64{}, off: map[string]string{}, stored: map[string]string{}, met: map[string]int{}}
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
	r.Etcd, err = etcdstandin.Open(etcdstandin.Config{Members: members, TLS: tls, Users: map[string]string{user: secret}, TokenTTL: 20 * time.Second,
		Election: time.Duration(etcdStar * float64(time.Second)), RequestTimeout: time.Second, FragmentBytes: 400, BatchRevs: 3})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "password"), []byte(secret+"\n"), 0o600); err != nil {
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

// Use has a fleet's membership come from the rig.
func (r *Rig) Use(cfg *testbed.FleetConfig) {
	cfg.OneAddr, cfg.Discovery, cfg.Source, cfg.StaleS = true, r.discovery, r.source, 2.5
}

// Close ends all.
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

// change makes one change in etcd and notes what it holds of the nodes named: what is milder before the write, as it may be
// told at once, and what is stricter behind it.
func (r *Rig) change(ids []string, values map[string]string) {
	for _, id := range ids {
		if r.state(id) == "in_service" {
			r.recordStored(id)
		}
	}
	r.Etcd.Do(values)
	for _, id := range ids {
		r.recordStored(id)
	}
}

// state is what etcd holds of a node by the rig's own book; r.mu is held.
func (r *Rig) state(id string) string {
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
	if now := r.state(id); now != r.stored[id] {
		r.stored[id] = now
		if r.hist != nil {
			r.hist.SourceChanged(oracle.EtcdSource, id, now, r.starts[id])
		}
	}
}

// source takes a change of a node: one in three goes to etcd alone, one to the roster alone, one to both, by the node's id; a
// node that goes is known to both to have gone.
func (r *Rig) source(f *testbed.Fleet, t discovery.Endpoint) (toRoster bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hist == nil {
		r.hist = f.Hist
	}
	t.Addr = f.AddrFor("", t)
	n, d := prefix+"nodes/"+t.ID, prefix+"drain/"+t.ID
	if r.starts[t.ID] != t.StartedMS && t.State == "in_service" {
		r.starts[t.ID], r.stored[t.ID] = t.StartedMS, "" // another life: what was held says nothing of it
	}
	delete(r.off, t.ID) // whatever it was: it is told anew
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

// mark sets or takes back the marks of nodes, as one transaction.
func (r *Rig) mark(on bool, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	values := map[string]string{}
	var own []string
	for _, id := range ids {
		_, known := r.nodes[id]
		known = known || r.off[id] != ""
		if !known && r.stored[id] != "" {
			continue // it has gone
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

// unlist takes a node off etcd's list, or puts it back unless it has gone meanwhile.
func (r *Rig) unlist(id string, off bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	value, listed := r.nodes[id]
	switch {
	case off && listed:
		delete(r.nodes, id)
		r.off[id] = value
		r.change([]string{id}, map[string]string{prefix + "nodes/" + id: ""})
	case !off && r.off[id] != "":
		r.nodes[id] = r.off[id]
		delete(r.off, id)
		r.change([]string{id}, map[string]string{prefix + "nodes/" + id: r.nodes[id]})
	}
}

// refill puts all that should be there into a cluster that has been emptied or put back.
func (r *Rig) refill() (kvs []etcdstandin.KV) {
	for id, v := range r.nodes {
		kvs = append(kvs, etcdstandin.KV{Key: prefix + "nodes/" + id, Value: v, Revision: 2})
	}
	for id := range r.marks {
		kvs = append(kvs, etcdstandin.KV{Key: prefix + "drain/" + id, Value: "{}", Revision: 2})
	}
	return kvs
}

// ---- agents and relays ----

func (r *Rig) write(a *beside) error {
	id, err := r.authority.Issue(a.observer + "-" + strconv.Itoa(a.turn))
	if err != nil {
		return err
	}
	var ends []string
	for _, k := range r.links[a.side] {
		ends = append(ends, strconv.Quote("https://"+k.Addr()))
	}
	n := a.turn % len(ends)
	ends = append(ends[n:], ends[:n]...)
	a.turn++
	text, err := os.ReadFile(a.file + ".head")
	if err != nil {
		return err
	}
	head := string(text) + fmt.Sprintf("endpoints = [%s]\n[tls]\ncert = %q\nkey = %q\nca = %q\n", strings.Join(ends, ", "), id.Cert, id.Key, id.CA)
	return os.WriteFile(a.file, []byte(head), 0o600)
}

// discovery starts the agent of a party, and the relay that it asks.
func (r *Rig) discovery(f *testbed.Fleet, party string) (string, error) {
	ros, err := f.Discovery.For(oracle.DiscoverySource(party))
	if err != nil {
		return "", err
	}
	a := &beside{observer: party, file: filepath.Join(r.dir, "agent-"+party+".toml")}
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
		a.listen, a.status, ros, filepath.Join(r.dir, "agent-"+party+".state"), prefix, user, filepath.Join(r.dir, "password"), staleMS)
	if err := os.WriteFile(a.file+".head", []byte(head), 0o600); err != nil {
		return "", err
	}
	if err := r.write(a); err != nil {
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
		if l, err := a.list(); err == nil && len(l.Endpoints) > 0 {
			break
		}
		if time.Now().After(end) {
			return "", fmt.Errorf("the agent of %s does not begin", party)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, &relay{f.Hist, party, a.listen}) }()
	return l.Addr().String(), nil
}

// list asks the agent itself.
func (a *beside) list() (l discovery.List, err error) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + a.listen + "/api/targets")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("the agent answers %s", resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// relay passes on what an agent says to the program beside it and notes it: what a machine was told, and when.
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

// ---- the views ----

// want is the set of nodes that a party should see as up: by etcd's book and by what its roster has told it.
func (r *Rig) want(party string, told map[string]string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := map[string]bool{}
	for id := range r.stored {
		ids[id] = true
	}
	for id := range told {
		ids[id] = true
	}
	var up []string
	for id := range ids {
		e, ros := r.stored[id], told[id]
		if (e == "in_service" || ros == "in_service") && (e == "" || e == "in_service") && (ros == "" || ros == "in_service") {
			up = append(up, id)
		}
	}
	sort.Strings(up)
	return strings.Join(up, " ")
}

// discoveryNotified is what a party's roster has told its agent last, of each node.
func (r *Rig) discoveryNotified() map[string]map[string]string {
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

const equalMost = 15 * time.Second

// equal waits until every agent's list is what the sources hold, and notes how long that took.
func (r *Rig) equal(ctx context.Context, after string) {
	began := time.Now()
	r.mu.Lock()
	left := slices.Clone(r.agents)
	r.mu.Unlock()
	why := ""
	for time.Since(began) < equalMost && ctx.Err() == nil {
		told := r.discoveryNotified()
		left = slices.DeleteFunc(left, func(a *beside) bool {
			l, err := a.list()
			if err != nil {
				why = a.observer + ": " + err.Error()
				return false
			}
			var up []string
			for _, t := range l.Endpoints {
				if t.State == "in_service" {
					up = append(up, t.ID)
				}
			}
			sort.Strings(up)
			want := r.want(a.observer, told[oracle.DiscoverySource(a.observer)])
			why = fmt.Sprintf("%s sees %v, the truth is %s", a.observer, up, want)
			return strings.Join(up, " ") == want
		})
		if len(left) == 0 {
			r.hist.AddViewCheck(oracle.ViewCheck{Fault: after, At: r.hist.Now(), Convergence: time.Since(began)})
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	if ctx.Err() == nil {
		r.hist.AddViewCheck(oracle.ViewCheck{Fault: after, At: r.hist.Now(), Convergence: time.Since(began), Mismatch: why})
	}
}

// sourceStatus is what an agent's status tells of etcd.
type sourceStatus struct {
	Etcd struct {
		Reads, Repeats, Compacted, Replaced, Refused, Breaks int
	} `json:"etcd"`
}

// Print tells what was met, and how long it took to be current again.
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
	for k, n := range r.met {
		list = append(list, fmt.Sprintf("%s %d", k, n))
	}
	sort.Strings(list)
	fmt.Fprintf(w, "faults of etcd: %s\n", strings.Join(list, ", "))
	n := r.Etcd.Counts()
	fmt.Fprintf(w, "etcd: %d reads, %d watches, %d changes of leaders; agents (since their last starts): %d reads of the whole, %d sessions broken, "+
		"%d compactions met, %d clusters replaced, %d old answers refused\n", n.Reads, n.Watches, n.Leaders, sum.Etcd.Reads, sum.Etcd.Breaks,
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
		fmt.Fprintf(w, "views of all %d agents equal to the truth again after %v in the median, %v at worst, %d times\n", len(r.agents),
			took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
	}
}
