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

// The test binary is also the programs under test, so that they run with the race detector.
func TestMain(m *testing.M) {
	if os.Getenv("LAB_KIND") == "holder" { // a laboratory that starts a program and is killed
		c := exec.Command("sleep", "600")
		if err := spawned(c); err != nil {
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

// testFleetConfig has times that a slow machine keeps: here it is shown what happens, not how fast.
func testFleetConfig(t *testing.T, forwarders int) FleetConfig {
	return FleetConfig{Forwarders: forwarders, Planners: 3, Nodes: 4, Classes: LabClasses, Plans: LabPlans, Node: LabNode, Seed: 1,
		Dir: t.TempDir(), Spawn: spawn, MemoryMB: 256, SlowS: 1,
		Params: topology.Params{LeaseS: 1.2, HeartbeatS: 0.15, LinkTimeoutS: 0.9, LeaderWaitS: 2, FailsafeDelayS: 0.2}}
}

// Guards against programs that are left behind: they end with the laboratory that started them, also when it is killed.
func TestProgramsEndWithTheLaboratory(t *testing.T) {
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
		t.Fatal(pid, err)
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
			t.Fatalf("the program runs on: %s", stat)
		}
	}
}

// requireRulesHold fails the test with the whole report where a rule was broken or not seen.
func requireRulesHold(t *testing.T, rep *oracle.Report, log *strings.Builder) {
	t.Helper()
	if err := rep.Verdict(); err != nil {
		var b strings.Builder
		rep.Print(&b)
		t.Errorf("%v\n%s\n%s", err, b.String(), log.String())
	}
}

// Operators at work on a fleet of one level, the short form: programs replaced beside themselves under load, and nodes held at
// all of them, also while a program is replaced or killed.
func TestOperators(t *testing.T) {
	cfg := testFleetConfig(t, 3)
	cfg.Planners = 0
	sc := Scenario{FleetConfig: cfg, Accounts: Accounts(6, 4, 2, 3, 2, 1), Length: 9 * time.Second}
	if err := Make("operators", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	sc.Faults = []Fault{{At: 900 * ms, For: 3 * time.Second, Kind: "held", A: 1}, {At: 1500 * ms, Kind: "replaced", A: 0}, {At: 2000 * ms, Kind: "replaced", A: 1},
		{At: 2200 * ms, For: 300 * ms, Kind: "forwarder", A: 2}, {At: 2500 * ms, Kind: "broken roster"}, {At: 4500 * ms, Kind: "replaced", A: 0},
		{At: 5000 * ms, For: 2 * time.Second, Kind: "held", A: 2}, {At: 5500 * ms, Kind: "replaced", A: 2}}
	sc.Floors = map[string]int{oracle.RuleCordon: 1, oracle.RuleReplacement: 3, oracle.RuleNoRequestLost: 5}
	var log strings.Builder
	f, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if len(f.Hist.Replacements) != 4 {
		t.Errorf("%d programs were replaced, want 4: %+v", len(f.Hist.Replacements), f.Hist.Faults)
	}
}

// Operators at work on a fleet of two levels, the short form: nodes held by one planner's yes, while that planner is sent away, killed or
// cut off, and called back at another.
func TestOperatorsOfTwoLevels(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("a build without fencing")
	}
	cfg := testFleetConfig(t, 3)
	cfg.Params.LeaseS, cfg.Params.HeartbeatS, cfg.Params.LinkTimeoutS = 0.55, 0.1, 0.6
	sc := Scenario{FleetConfig: cfg, Accounts: Accounts(6, 4, 2, 3, 2, 1), Length: 9 * time.Second}
	if err := Make("hands", &sc, nil, 0); err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	sc.Faults = []Fault{{At: 900 * ms, For: 2500 * ms, Kind: "fleet held", A: 1, B: 0}, {At: 2000 * ms, For: time.Second, Kind: "kill", A: 0},
		{At: 2300 * ms, For: 400 * ms, Kind: "away", A: 1}, {At: 4600 * ms, For: 2 * time.Second, Kind: "fleet held", A: 2, B: 1},
		{At: 5600 * ms, For: 400 * ms, Kind: "forwarder", A: 2}, {At: 6000 * ms, For: 500 * ms, Kind: "away", A: 2}}
	sc.Floors = map[string]int{oracle.RuleCordon: 1}
	var log strings.Builder
	_, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
}

// The whole fleet as processes, with planners killed, paused, ended and cut off: the short form of the long run.
func TestFleetOfProcesses(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("a build without fencing")
	}
	sc := Scenario{FleetConfig: testFleetConfig(t, 5), Accounts: Accounts(6, 4, 2, 5, 3, 1), Length: 14 * time.Second}
	if err := Make("storm", &sc, []string{"kill", "cut", "term", "drain", "sick", "node half cut", "flood"}, 800*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	sc.Floors = map[string]int{oracle.RuleNoRequestLost: 10, oracle.RuleOneOpenAttempt: 3, oracle.RuleNoDuplicateEffect: 2, oracle.RuleHardLimit: 3, oracle.RuleQuota: 10} // a slow machine sees a part of what a quick one does
	var log strings.Builder
	f, rep, err := Run(sc, &log)
	if err != nil {
		t.Fatal(err)
	}
	requireRulesHold(t, rep, &log)
	if rep.Results[oracle.Served] < 100 || len(f.Hist.Faults) < 3 {
		t.Errorf("%+v served under %d faults: the run shows nothing", rep.Results, len(f.Hist.Faults))
	}
	for _, o := range rep.Overshoots {
		if o.Units > 6 { // one of the largest requests
			t.Errorf("%+v\n%s", o, log.String())
		}
	}
}

// sendRequestTo sends one request to a forwarder and returns the first line of the answer.
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
	list := fmt.Sprintf("c=courier-send,t=free,d=4000,units=1,spread=%d,first=0", len(f.Forwarders))
	args := []string{"CALL.POST", "00000000b4d65521", id, list, "body"}
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

// Guards the operator's promises: a planner that ends hands over, nothing is refused for it; without planners a
// request is refused with a hint; and a forwarder that is no member is turned away.
func TestFleetOperations(t *testing.T) {
	if !topology.FencingEnabled {
		t.Skip("a build without fencing")
	}
	cfg := testFleetConfig(t, 3)
	// A plan without a window: those start empty where a leader can't know better, as at a fleet's start.
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
		t.Errorf("served with %q", got)
	}
	for p := range 2 { // one after the other leaves; what they led is led by the rest
		f.Planners[p].Term()
		if got := sendRequestTo(t, f, p, fmt.Sprint("b", p)); got != "$4" {
			t.Errorf("after planner %d left: %q", p, got)
		}
	}
	var st planner.Status
	if err := f.Planners[2].ReadStatus(context.Background(), &st); err != nil || st.Links != 3 {
		t.Errorf("status %+v, %v", st, err)
	}
	if err := f.WaitForLeaders(30 * time.Second); err != nil {
		t.Error(err)
	}
	f.Planners[2].Kill()
	got := sendRequestTo(t, f, 1, "c")
	if !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("without planners: %q", got)
	}
	var fs forwarder.Status
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // the link's end may be met before the fail-safe
		if err := f.Forwarders[1].ReadStatus(context.Background(), &fs); err == nil && fs.Cells[0].Failsafe {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no fail-safe: %+v", fs)
		}
	}
	if got := sendRequestTo(t, f, 1, "e"); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("in the fail-safe: %q", got)
	}
	if err := f.Forwarders[1].ReadStatus(context.Background(), &fs); err != nil || fs.Stats.RejectedNoLeader == 0 {
		t.Errorf("status %+v, %v", fs, err)
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
		t.Errorf("with planners again: %q", got)
	}
}
