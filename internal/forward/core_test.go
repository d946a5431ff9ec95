package forward

import (
	"fmt"
	"strings"
	"testing"

	"eiderspread/internal/fleet"
	"eiderspread/internal/link"
	"eiderspread/policy"
)

var classes = []policy.Class{
	{Name: "look", AimS: 0.5, DeadlineS: 2, Effect: policy.Safe},
	{Name: "hold", AimS: 1, DeadlineS: 4, Effect: policy.Keyed, KeyTTLS: 4},
	{Name: "bill", AimS: 1.5, DeadlineS: 4, Effect: policy.Unsafe},
	{Name: "zone", AimS: 1, DeadlineS: 4, Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 4},
}

// rig is a core whose outputs are written down: "p1 claim ..." to planners, "send a z1" and the like to the ingress.
type rig struct {
	t    *testing.T
	core *Core
	now  float64
	said []string
	last link.Msg // to a planner
	room bool
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: 1000, room: true}
	p := fleet.Params{Name: "t", Forwarders: 3, Planners: 3, Cells: 2}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	r.core = New(Config{Params: p, Classes: classes, Plans: []policy.Plan{{Name: "basic", Rate: 5, Burst: 10}}, MaxRetryAfterS: 1}, r.now, r)
	r.now++ // past what an earlier life may have promised
	return r
}

func (r *rig) add(format string, args ...any) { r.said = append(r.said, fmt.Sprintf(format, args...)) }

func (r *rig) Link(p int, msgs ...link.Msg) {
	for _, m := range msgs {
		if m.Kind == link.View || m.Handle == link.KnowsHoldsHandle {
			continue // said all the time
		}
		names := map[link.Kind]string{link.Grant: "grant", link.Tale: "tale", link.TaleEnd: "end", link.Request: "request",
			link.Outcome: "outcome", link.Gone: "gone", link.Untold: "untold", link.Outs: "outs", link.HoldIs: "holdis"}
		r.add("p%d %s", p, names[m.Kind])
		r.last = m
	}
}
func (r *rig) Hold(id string, held bool)               { r.add("hold %s %v", id, held) }
func (r *rig) Room(int) bool                           { return r.room }
func (r *rig) Send(id, server string, float64 float64) { r.add("send %s %s", id, server) }
func (r *rig) Refuse(id string, hint float64) {
	if hint < 0.5 || hint > 1 {
		r.t.Errorf("hint of %v", hint)
	}
	r.add("refuse %s", id)
}
func (r *rig) Fail(id string)           { r.add("fail %s", id) }
func (r *rig) Cancel(id string, n int)  { r.add("cancel %s %d", id, n) }
func (r *rig) SetTimer(uint64, float64) {}
func (r *rig) Probe(s string)           { r.add("probe %s", s) }
func (r *rig) Tell(int, []byte)         {}
func (r *rig) Log(string)               {}

// want compares what was said since the last time.
func (r *rig) want(list ...string) {
	r.t.Helper()
	if got, want := strings.Join(r.said, "; "), strings.Join(list, "; "); got != want {
		r.t.Errorf("got %q, want %q", got, want)
	}
	r.said = nil
}

func (r *rig) msg(p int, m link.Msg) { r.core.Msg(r.now, p, &m) }

// cell of the one customer that the tests ask for.
const who = "00000000b4d65521"

func (r *rig) cell() uint16 { return uint16(r.core.cfg.CellOf(who)) }

// lead has planner p lead the cell by an epoch.
func (r *rig) lead(p int, epoch uint64) {
	r.t.Helper()
	if !r.core.peers[p].up {
		r.core.LinkUp(r.now, p, uint64(p)+7)
	}
	r.msg(p, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: epoch, Round: 1})
	r.msg(p, link.Msg{Kind: link.Lead, Cell: r.cell(), Epoch: epoch})
	if k := r.core.cells[r.cell()]; !k.led || k.holder != p || k.epoch != epoch {
		r.t.Fatalf("planner %d does not lead: %+v", p, k)
	}
}

func (r *rig) ask(id, class string) {
	r.core.Request(r.now, policy.Request{ID: id, Class: class, Plan: "basic", Customer: who, DeadlineS: r.now + 4, Units: 2})
}

// sent has planner p send the request that was told last.
func (r *rig) sent(p int, epoch uint64, server string, seq uint32) {
	r.msg(p, link.Msg{Kind: link.Send, Cell: r.cell(), Epoch: epoch, Handle: r.core.handles, Name: server, Wait: 1, Round: seq, Value: 2})
}

func (r *rig) ended(id string, n int, status policy.Status) {
	r.core.Outcome(r.now, policy.Outcome{ID: id, Attempt: n, Status: status, Over: status == policy.OK})
}

// Guards fencing: promises that are given away while they run, and old news that is followed.
func TestPromises(t *testing.T) {
	r := newRig(t)
	r.lead(0, 5)
	r.want("p0 grant", "p0 end")
	r.core.LinkUp(r.now, 1, 8)
	claim := func(p int, epoch uint64) {
		r.msg(p, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: epoch, Round: 2})
	}
	claim(1, 6)
	r.want() // the promise to 0 runs
	r.now += 0.3
	claim(0, 5)
	r.want("p0 grant")
	r.now += 0.3
	claim(1, 6)
	r.want() // it was renewed
	r.now += 0.2
	claim(1, 5)
	r.want() // it ran out, but no epoch comes twice
	claim(1, 6)
	r.want("p1 grant", "p1 end")
	claim(0, 5)
	claim(0, 7)
	r.want()
	r.msg(0, link.Msg{Kind: link.Lead, Cell: r.cell(), Epoch: 5})
	if r.core.cells[r.cell()].led {
		t.Error("an old leader's word is taken")
	}
	r.msg(1, link.Msg{Kind: link.Lead, Cell: r.cell(), Epoch: 6})
	r.msg(0, link.Msg{Kind: link.Release, Cell: r.cell(), Epoch: 6}) // not its to give up
	claim(0, 7)
	r.want()
	r.msg(1, link.Msg{Kind: link.Release, Cell: r.cell(), Epoch: 6})
	claim(0, 7)
	r.want("p0 grant", "p0 end")
	r.core.LinkDown(r.now, 0)
	r.core.LinkUp(r.now, 0, 99) // another life: it knows nothing of the promise
	claim(0, 7)
	claim(0, 8)
	r.want()
	r.now += 0.5
	claim(0, 8)
	r.want("p0 grant", "p0 end")
}

// Guards against a forwarder that forgets by a restart what it promised: it promises nothing for as long as an earlier
// promise may hold.
func TestNoPromiseRightAfterTheStart(t *testing.T) {
	r := newRig(t)
	r.now--
	r.core.LinkUp(r.now, 0, 7)
	for ; r.now < 1000+r.core.cfg.LeaseS; r.now += 0.05 {
		r.msg(0, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 70})
		r.want()
	}
	r.msg(0, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 70})
	r.want("p0 grant", "p0 end")
}

// Guards against a late action of an old leader: it changes nothing, whatever it says.
func TestLateActionsChangeNothing(t *testing.T) {
	r := newRig(t)
	r.lead(0, 1)
	r.ask("a", "bill")
	old := r.core.handles
	late := func() {
		for _, kind := range []link.Kind{link.Send, link.Refuse, link.Fail, link.Cancel, link.Probe} {
			r.msg(0, link.Msg{Kind: kind, Cell: r.cell(), Epoch: 1, Handle: old, Name: "z1"})
			r.msg(0, link.Msg{Kind: kind, Cell: r.cell(), Epoch: 1, Handle: r.core.handles, Name: "z1"})
		}
	}
	r.said = nil
	r.now += 0.45 // the promise has run out, though nobody has looked yet
	late()
	r.want()
	r.core.Tick(r.now)
	r.want("p0 untold")
	late()
	r.lead(1, 2)
	r.want("p1 grant", "p1 end", "p1 request")
	late()
	r.want()
	r.sent(1, 2, "z2", 1)
	r.want("send a z2")
	late()
	r.ended("a", 0, policy.OK)
	r.want("p1 outcome")
	late()
	r.sent(1, 2, "z2", 1) // over: its own leader is late, too
	r.want()
	if r.core.Stats.Stale == 0 || len(r.core.byID) != 0 || len(r.core.told) != 0 {
		t.Errorf("stale %d, open %d, told %d", r.core.Stats.Stale, len(r.core.byID), len(r.core.told))
	}
}

// Guards requests under way when their leader dies: how each goes on, by class and by what became of its attempt.
func TestRequestsOutliveTheirLeader(t *testing.T) {
	for _, tc := range []struct {
		class  string
		status policy.Status
		after  float64 // between the attempt and its end
		want   string  // said when the attempt ends with a new leader
	}{
		{"bill", policy.OK, 0, "p1 outs"},
		{"bill", policy.ConnectFailed, 0, "p1 outs; p1 request"},
		{"bill", policy.Full, 0, "p1 outs; p1 request"},
		{"bill", policy.Moot, 0, "p1 outs; p1 request"},
		{"bill", policy.Reset, 0, "p1 outs; fail a"},
		{"bill", policy.Timeout, 0, "p1 outs; fail a"},
		{"bill", policy.Error, 0, "p1 outs; fail a"},
		{"look", policy.Reset, 0, "p1 outs; p1 request"},
		{"look", policy.Timeout, 1, "p1 outs; p1 request"},
		{"hold", policy.Reset, 0.5, "p1 outs; p1 request"},
		{"hold", policy.Reset, 3.5, "p1 outs; refuse a"}, // the key is not remembered for long enough
		{"zone", policy.Reset, 0, "p1 outs; fail a"},     // the successor does not know the group
	} {
		t.Run(fmt.Sprint(tc.class, tc.status, tc.after), func(t *testing.T) {
			r := newRig(t)
			r.lead(0, 1)
			r.ask("a", tc.class)
			r.sent(0, 1, "z1", 1)
			r.want("p0 grant", "p0 end", "p0 request", "send a z1")
			r.core.LinkDown(r.now, 0)
			r.want()
			r.now += 0.5
			r.lead(1, 2)
			r.want("p1 grant", "p1 tale", "p1 outs", "p1 end", "p1 outs") // it is out: nobody else may send it
			for left := tc.after; left > 0; left -= 0.25 {
				r.now += 0.25
				r.msg(1, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 2, Round: 3})
			}
			r.said = nil
			r.ended("a", 0, tc.status)
			r.want(strings.Split(tc.want, "; ")...)
			if strings.HasSuffix(tc.want, "request") && r.last.Value != 0 {
				t.Errorf("its %v units are counted twice", r.last.Value)
			}
		})
	}
}

// Guards what was never sent: it waits for the successor, with all of its units, and not for ever.
func TestWaitingForALeader(t *testing.T) {
	r := newRig(t)
	r.core.LinkUp(r.now, 1, 8)
	r.lead(0, 1)
	r.ask("a", "bill")
	r.core.LinkDown(r.now, 0)
	r.ask("b", "look")
	r.said = nil
	r.now += 0.5
	r.core.Tick(r.now)
	r.want()
	r.lead(1, 2)
	r.want("p1 grant", "p1 end", "p1 request", "p1 request")
	if r.last.Value != 2 {
		t.Errorf("units %v", r.last.Value)
	}
	r.core.LinkDown(r.now, 1)
	r.core.LinkUp(r.now, 2, 9)
	r.now += r.core.cfg.WaitS + 0.01
	r.core.Tick(r.now)
	if got := strings.Join(r.said, "; "); got != "refuse a; refuse b" && got != "refuse b; refuse a" {
		t.Errorf("got %q", got)
	}
	r.said = nil
	r.ask("c", "look")
	r.want("refuse c") // the cell has been without a leader for as long as one waits
}

// Guards the stated time of the fail-safe: without any planner what waits and what comes is refused, what is out goes
// on.
func TestFailsafe(t *testing.T) {
	r := newRig(t)
	r.lead(0, 1)
	r.ask("out", "bill")
	r.sent(0, 1, "z1", 1)
	r.ask("told", "bill")
	r.core.LinkDown(r.now, 0)
	r.ask("new", "look")
	r.said = nil
	r.now += r.core.cfg.FailsafeS - 0.001
	r.core.Tick(r.now)
	r.want()
	r.now += 0.002
	r.core.Tick(r.now)
	if n := len(r.said); n != 2 {
		t.Errorf("%q", r.said)
	}
	r.said = nil
	r.ask("late", "look")
	r.want("refuse late")
	r.ended("out", 0, policy.Reset)
	r.want("fail out")
	if _, failsafe := r.core.Led(); failsafe != 2 {
		t.Errorf("%d cells in the fail-safe", failsafe)
	}
	r.now += 0.5
	r.lead(1, 2)
	r.said = nil
	r.ask("again", "look")
	r.want("p1 request")
}

// Guards against two attempts at once, and a refusal that is not true, whatever a planner says.
func TestPlannerThatErrs(t *testing.T) {
	r := newRig(t)
	r.lead(0, 1)
	r.ask("a", "bill")
	r.sent(0, 1, "z1", 1)
	r.said = nil
	r.sent(0, 1, "z2", 1)
	r.want("p0 outcome")
	if r.last.N != 1 || policy.Status(r.last.Class) != policy.Moot {
		t.Errorf("told %+v", r.last)
	}
	r.ended("a", 0, policy.Reset)
	r.msg(0, link.Msg{Kind: link.Refuse, Cell: r.cell(), Epoch: 1, Handle: r.core.handles, Wait: 1})
	r.want("p0 outcome", "fail a")
	r.msg(0, link.Msg{Kind: link.Cancel, Cell: r.cell(), Epoch: 1, Handle: r.core.handles, N: 1 << 31})
	r.msg(0, link.Msg{Kind: link.Claim, Cell: 60000, Epoch: 1})
	r.msg(0, link.Msg{Kind: link.Send, Cell: 60000, Epoch: 1})
	r.want()
}

// Guards against a queue in place of a refusal, where a planner does not keep up.
func TestBackPressure(t *testing.T) {
	r := newRig(t)
	r.lead(0, 1)
	r.said, r.room = nil, false
	r.ask("a", "bill")
	r.want("refuse a")
}

// Guards against tales that tell less than was passed on: the latest pass, and never a gap that is not said.
func TestTales(t *testing.T) {
	r := newRig(t)
	r.lead(0, 1)
	if r.last.Kind != link.TaleEnd || r.last.Flag {
		t.Errorf("a forwarder that has just started tells all: %+v", r.last)
	}
	r.now += 10
	r.lead(0, 2)
	if !r.last.Flag {
		t.Error("the tale is not complete")
	}
	for i, seq := range []uint32{3, 1} { // the later pass comes first
		id := fmt.Sprint("a", i)
		r.ask(id, "look")
		r.msg(0, link.Msg{Kind: link.Send, Cell: r.cell(), Epoch: 2, Handle: r.core.handles, Name: "z", Wait: 1, Round: seq, Value: float64(seq)})
		r.ended(id, 0, policy.OK)
	}
	r.now += 0.5
	r.core.LinkUp(r.now, 1, 8)
	r.said = nil
	var tale link.Msg
	r.msg(1, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 3})
	r.want("p1 grant", "p1 tale", "p1 end")
	r.core.tale(int(r.cell()))
	r.core.usage.each(r.now, func(_ string, n used) { tale.Round, tale.Value, tale.Handle = n.seq, n.debt, n.epoch })
	if tale.Round != 3 || tale.Value != 3 || tale.Handle != 2 {
		t.Errorf("the tale is of %+v", tale)
	}
	r.core.usage.most = 0
	r.core.usage.note("other", used{at: r.now})
	if r.core.usage.complete(r.now) || !r.core.usage.complete(r.now+r.core.usage.span) {
		t.Error("what was left out is not told, or for too long")
	}
}

// Guards against an attempt that outlives its leader in silence: its request is ended while its client still listens.
func TestSilentAttemptOutlivesItsLeader(t *testing.T) {
	r := newRig(t)
	r.lead(0, 64)
	r.ask("b", "bill")
	r.sent(0, 64, "z1", 1)
	r.core.LinkDown(r.now, 0)
	r.said = nil
	r.now += 4 - TickS/2
	r.core.Tick(r.now)
	r.want("fail b")
	r.now += 5
	r.core.Tick(r.now)
	r.ended("b", 0, policy.Timeout)
	r.want()
}

// Guards against a leader that says nothing more, as one whose lead has run out: what it was told is ended while its client
// still listens, once, and nothing that comes later changes that.
func TestToldAndNeverAnswered(t *testing.T) {
	r := newRig(t)
	r.lead(0, 64)
	r.ask("a", "look")
	r.ask("b", "bill")
	r.sent(0, 64, "z1", 2)
	r.said = nil
	for ; r.now < 1000+1+2-2*TickS; r.now += TickS { // the leader's promise is renewed all the time
		r.msg(0, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 64, Round: 1})
		r.core.Tick(r.now)
	}
	for _, x := range r.said {
		if strings.HasPrefix(x, "refuse") || strings.HasPrefix(x, "fail") {
			t.Fatalf("ended too early: %v", r.said)
		}
	}
	for ; r.now < 1000+1+5; r.now += TickS {
		r.msg(0, link.Msg{Kind: link.Claim, Cell: r.cell(), Epoch: 64, Round: 1})
		r.core.Tick(r.now)
	}
	answers := 0
	for _, x := range r.said {
		if strings.HasPrefix(x, "refuse a") || strings.HasPrefix(x, "fail b") {
			answers++
		} else if strings.HasPrefix(x, "refuse") || strings.HasPrefix(x, "fail") {
			t.Errorf("%s", x)
		}
	}
	if answers != 2 {
		t.Errorf("%d answers: %v", answers, r.said)
	}
}

// Guards the limit of attempts over a change of leaders, each of which counts its own alone.
func TestAttemptsOverLeaders(t *testing.T) {
	r := newRig(t)
	r.core.cfg.MaxAttempts = 3
	r.lead(0, 1)
	r.ask("a", "look")
	r.ask("b", "look")
	for _, id := range []string{"a", "a", "b", "b"} {
		r.core.handles = r.core.byID[id].handle
		r.sent(0, 1, "z1", 1)
		r.ended(id, len(r.core.byID[id].done)-1, policy.Reset)
	}
	r.core.handles = 2
	r.core.LinkDown(r.now, 0)
	r.now += r.core.cfg.LeaseS + 0.01
	r.said = nil
	r.lead(1, 2)
	r.want("p1 grant", "p1 tale", "p1 end", "p1 request", "p1 request")
	for h := range 2 {
		r.core.handles = uint64(3 + h)
		r.sent(1, 2, "z2", 1)
	}
	r.want("send a z2", "send b z2")
	r.ended("a", 2, policy.Full)
	r.want("p1 outcome")
	r.core.handles = 3
	r.sent(1, 2, "z3", 2) // the third of this leader's, the fourth in all
	r.want("p1 gone", "refuse a")
	r.core.LinkDown(r.now, 1)
	r.said = nil
	r.ended("b", 2, policy.Reset)
	r.want("refuse b") // no leader is asked any more
}
