package testbed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"eiderspread/internal/controlplane/forwarder"
	"eiderspread/internal/controlplane/planner"
	"eiderspread/internal/controlplane/process"
	"eiderspread/internal/controlplane/topology"
	"eiderspread/internal/testbed/oracle"
	"eiderspread/policy"
)

// The test binary is also the programs under test, so that these run with the race detector too.
func TestMain(m *testing.M) {
	if os.Getenv("LAB_KIND") == "holder" { // a testbed that starts a program and is killed
		c := exec.Command("sleep", "600")
		if err := startOnThread(c); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(c.Process.Pid)
		select {}
	}
	if os.Getenv("LAB_KIND") == "ingress" {
		if err := RunIngress(os.Getenv("LAB_FILE")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	if kind := os.Getenv("LAB_KIND"); kind != "" {
		if err := process.Run(kind, os.Getenv("LAB_FILE")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func spawn(kind, file string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "LAB_KIND="+kind, "LAB_FILE="+file)
	return c
}

// testFleetConfig returns a fleet with timeouts that a slow machine keeps too: these tests check what happens, not how fast.
func testFleetConfig(t *testing.T, forwarders int) FleetConfig {
	return FleetConfig{Forwarders: forwarders, Planners: 3, Nodes: 4, Classes: LabClasses, Plans: LabPlans, Node: LabNode, Seed: 1,
		Dir: t.TempDir(), Spawn: spawn, MemoryMB: 256, SlowS: 1,
		Params: topology.Params{LeaseS: 1.2, HeartbeatS: 0.15, LinkTimeoutS: 0.9, LeaderWaitS: 2, FailsafeDelayS: 0.2}}
}

// Guards against leaked processes: a program under test ends when the testbed that started it is killed.
func TestProgramsEndWithTheTestbed(t *testing.T) {
	holder := spawn("holder", "")
	out, err := holder.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := holder.Start(); err != nil {
		t.Fatal(err)
	}
	var pid int
	if _, err := fmt.Fscan(out, &pid); err != nil || pid == 0 {
		t.Fatalf("process id of the started program: got %d, error %v; want a number above 0", pid, err)
	}
	if err := holder.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = holder.Wait() // it was killed
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || strings.Contains(string(stat), ") Z ") {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the program still runs %v after its testbed was killed: %s", testTimeout, stat)
		}
	}
}

// requireRulesHold fails the test and prints the report and the run's log if a rule was violated or had too few occasions.
func requireRulesHold(t *testing.T, rep *oracle.Report, log *strings.Builder) {
	t.Helper()
	if err := rep.Verdict(); err != nil {
		var b strings.Builder
		rep.Print(&b)
		t.Errorf("%v\n%s\n%s", err, b.String(), log.String())
	}
}

// Guards the hot restart and the cordon of a fleet of one level: ingresses are replaced under load, and nodes are cordoned at all
// ingresses while some of these are replaced or killed. It is a short run of the scenario "operators".
func TestOperators(t *testing.T) {
	cfg := testFleetConfig(t, 3)
	cfg.Planners = 0
	sc := Scenario{FleetConfig: cfg, Accounts: Accounts(6, 4, 2, 3, 2, 1), Length: 9 * time.Second}
	if err := ApplyScenario("operators", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	sc.Faults = []Fault{{At: 900 * ms, For: 3 * time.Second, Kind: "held", A: 1}, {At: 1500 * ms, Kind: "replaced", A: 0}, {At: 2000 * ms, Kind: "replaced", A: 1},
		{At: 2200 * ms, For: 300 * ms, Kind: "forwarder", A: 2}, {At: 2500 * ms, Kind: "broken roster"}, {At: 4500 * ms, Kind: "replaced", A: 0},
		{At: 5000 * ms, For: 2 * time.Second, Kind: "held", A: 2}, {At: 5500 * ms, Kind: "replaced", A: 2}}
	sc.MinOccasions = map[string]int{oracle.RuleCordon: 1, oracle.RuleHotRestart: 3, oracle.RuleNoRequestLost: 5}
	var log strings.Builder
	f, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if len(f.Hist.HotRestarts) != 4 {
		t.Errorf("%d programs were replaced, want 4; faults: %+v", len(f.Hist.HotRestarts), f.Hist.Faults)
	}
}

// Guards the cordon of a fleet of two levels: a node is cordoned at one planner and uncordoned at another, while planners are
// drained and killed and a forwarder is killed. It is a short run of the scenario "hands".
func TestOperatorsOfTwoLevels(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("needs a build with fencing")
	}
	cfg := testFleetConfig(t, 3)
	cfg.Params.LeaseS, cfg.Params.HeartbeatS, cfg.Params.LinkTimeoutS = 0.55, 0.1, 0.6
	sc := Scenario{FleetConfig: cfg, Accounts: Accounts(6, 4, 2, 3, 2, 1), Length: 9 * time.Second}
	if err := ApplyScenario("hands", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	sc.Faults = []Fault{{At: 900 * ms, For: 2500 * ms, Kind: "fleet held", A: 1, B: 0}, {At: 2000 * ms, For: time.Second, Kind: "kill", A: 0},
		{At: 2300 * ms, For: 400 * ms, Kind: "away", A: 1}, {At: 4600 * ms, For: 2 * time.Second, Kind: "fleet held", A: 2, B: 1},
		{At: 5600 * ms, For: 400 * ms, Kind: "forwarder", A: 2}, {At: 6000 * ms, For: 500 * ms, Kind: "away", A: 2}}
	sc.MinOccasions = map[string]int{oracle.RuleCordon: 1}
	var log strings.Builder
	_, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
}

// Guards a fleet of two levels on sockets: planners are killed, terminated and cut off, nodes drain, fail and are half cut off,
// and an account floods. It is a short run of the scenario "storm".
func TestFleetOfProcesses(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("needs a build with fencing")
	}
	sc := Scenario{FleetConfig: testFleetConfig(t, 5), Accounts: Accounts(6, 4, 2, 5, 3, 1), Length: 14 * time.Second}
	if err := ApplyScenario("storm", &sc, []string{"kill", "cut", "term", "drain", "sick", "node half cut", "flood"}, 800*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	// Low floors, because a slow machine has fewer occasions than a fast one.
	sc.MinOccasions = map[string]int{oracle.RuleNoRequestLost: 10, oracle.RuleOneOpenAttempt: 3, oracle.RuleNoDuplicateEffect: 2, oracle.RuleHardLimit: 3, oracle.RuleQuota: 10}
	var log strings.Builder
	f, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if rep.Results[oracle.Served] < 100 || len(f.Hist.Faults) < 3 {
		t.Errorf("results %+v with %d faults, want at least 100 served and 3 faults", rep.Results, len(f.Hist.Faults))
	}
	for _, o := range rep.Overshoots {
		if o.Units > 6 { // one of the largest requests
			t.Errorf("overshoot %+v, want at most 6 units\n%s", o, log.String())
		}
	}
}

// Guards against a request that runs twice when the successor of a forwarder is killed (KNOWN-RED LabStormSuccessorDies): its client can't
// tell the killed process from one that closed the connection between requests, and sends the request again to the predecessor.
func TestSuccessorDies(t *testing.T) {
	sc := Scenario{FleetConfig: testFleetConfig(t, 3), Accounts: Accounts(20, 10, 3, 3, 3, 1), Length: 10 * time.Second}
	if err := ApplyScenario("successors-die", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	sc.MinOccasions = map[string]int{oracle.RuleNoDuplicateEffect: 10}
	var log strings.Builder
	f, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if len(f.Hist.Outages) < 3 || rep.Results[oracle.ConnectionLost] == 0 {
		t.Errorf("%d successors died and clients lost %d connections, want at least 3 and 1", len(f.Hist.Outages), rep.Results[oracle.ConnectionLost])
	}
}

// sendRequestTo sends one request to forwarder i and returns the first line of the reply.
func sendRequestTo(t *testing.T, f *Fleet, i int, id string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.Forwarders[i].Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Error(err)
	}
	fields := fmt.Sprintf("c=courier-send,t=free,d=4000,units=1,spread=%d,first=0", len(f.Forwarders))
	args := []string{"CALL.POST", "00000000b4d65521", id, fields, "body"}
	fmt.Fprintf(c, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(c, "$%d\r\n%s\r\n", len(a), a)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// Guards the takeover between planners: a planner that terminates hands its cells over and no request is rejected for it; without
// planners requests are rejected with a retry-after hint, and are served again once planners are back.
func TestFleetOperations(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("needs a build with fencing")
	}
	cfg := testFleetConfig(t, 3)
	// A plan without a quota. Quota windows start empty if the leader doesn't know the usage, as at the start of a fleet, so requests
	// of other plans could be rejected.
	cfg.Plans = append(slices.Clone(cfg.Plans), policy.Plan{Name: "free", Weight: 1})
	f, err := StartFleet(cfg)
	defer f.Stop()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitForLeaders(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	if got := sendRequestTo(t, f, 0, "a"); got != "$3" {
		t.Errorf("reply with all planners: got %q, want %q", got, "$3")
	}
	for p := range 2 { // planners terminate one after the other; the rest take over their cells
		f.Planners[p].Term()
		if got := sendRequestTo(t, f, p, fmt.Sprint("b", p)); got != "$4" {
			t.Errorf("reply after planner %d terminated: got %q, want %q", p, got, "$4")
		}
	}
	var st planner.Status
	if err := f.Planners[2].ReadStatus(context.Background(), &st); err != nil || st.Links != 3 {
		t.Errorf("status of planner 2: %+v, error %v; want 3 links", st, err)
	}
	if err := f.WaitForLeaders(30 * time.Second); err != nil {
		t.Error(err)
	}
	f.Planners[2].Kill()
	got := sendRequestTo(t, f, 1, "c")
	if !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("reply without planners: got %q, want -BUSY", got)
	}
	var fs forwarder.Status
	// The forwarder may see the end of the link before it enters the fail-safe.
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if err := f.Forwarders[1].ReadStatus(context.Background(), &fs); err == nil && fs.Cells[0].Failsafe {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("forwarder 1 is not in the fail-safe in cell 0 after %v: %+v", testTimeout, fs)
		}
	}
	if got := sendRequestTo(t, f, 1, "e"); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("reply in the fail-safe: got %q, want -BUSY", got)
	}
	if err := f.Forwarders[1].ReadStatus(context.Background(), &fs); err != nil || fs.Stats.RejectedNoLeader == 0 {
		t.Errorf("status of forwarder 1: %+v, error %v; want requests rejected for lack of a leader", fs, err)
	}
	for _, p := range f.Planners {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.WaitForLeaders(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	if got := sendRequestTo(t, f, 1, "d"); got != "$3" {
		t.Errorf("reply after the planners restarted: got %q, want %q", got, "$3")
	}
}
