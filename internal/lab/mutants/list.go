package mutants

// Runs of which mutants name those that bring their occasions. Virtual time first: it is quick.
const (
	simOne      = "sim -shrink=false -schedules 24 -for 30s -planners 0 -scenario "
	simTwo      = "sim -shrink=false -schedules 24 -for 30s -planners 3 -scenario "
	labOne      = "lab -forwarders 4 -planners 0 -nodes 6 -for 15s -scenario "
	labTwo      = "lab -forwarders 5 -planners 3 -nodes 6 -for 15s -scenario "
	labEtcd     = "eiderwatch lab -quiet -forwarders 6 -planners 0 -for 60s -every 300ms -seed 4"
	labEtcdLong = "eiderwatch lab -quiet -forwarders 6 -planners 0 -for 100s -every 300ms -seed 5"
	module      = "policy/policy.go"
	state       = "policy/state.go"
	core        = "internal/forward/core.go"
	host        = "internal/planner/host.go"
	windows     = "internal/planner/windows.go"
	leases      = "internal/planner/leases.go"
	in          = "internal/ingress/"
)

func edit(file, old, new string) []Edit { return []Edit{{file, old, new}} }

// List is every guard that the laboratory is asked to miss.
var List = []Mutant{
	// ---- The module: further attempts and refusals ----
	{Name: "unsafe runs once", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(module, "return r.ran == nil || r.cls.Effect == Safe ||", "return r.ran == nil || r.cls.Effect != Keyed ||"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "keys are remembered for a time", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(module, "r.cls.Effect == Keyed && g.now <= r.ranAt+r.cls.KeyTTLS-lagS", "r.cls.Effect == Keyed"),
		Runs:  []string{simOne + "keys", simTwo + "keys"}},
	{Name: "no harmless refusal of what may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(module, "if may && (r.cls.Effect == Unsafe ||", "if may && (r.cls.Effect == Unsafe && r.out > 9 ||"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "a reset may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(module, "never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot; !never && r.ran == nil", "never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot || o.Status == Reset; !never && r.ran == nil"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "an error may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(module, "never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot; !never && r.ran == nil", "never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot || o.Status == Error; !never && r.ran == nil"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "a time-out may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(module, "never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot; !never && r.ran == nil", "never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot || o.Status == Timeout; !never && r.ran == nil"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "the first attempt that may have run counts", Rule: "no effect twice",
		Edits: edit(module, "o.Status == Moot; !never && r.ran == nil {", "o.Status == Moot; !never {"),
		Runs:  []string{simOne + "keys", simTwo + "keys"}},
	// ---- The module: quotas, caps and ceilings ----
	{Name: "the owner's window", Rule: "quotas kept", Unit: "./policy",
		Edits: edit(module, "\treturn units <= l.room\n", "\treturn true\n"), Runs: []string{simTwo + "ceilings"}},
	{Name: "what was let in is taken off the window", Rule: "quotas kept", Unit: "./policy",
		Edits: edit(module, "\t\tl.room = max(l.room-units, min(l.room, 0))\n", "\t\t_ = l\n"), Runs: []string{simTwo + "ceilings"}},
	{Name: "cap on open attempts", Rule: "caps kept", Unit: "./policy", // when a request is let in, and when one that waited is sent
		Edits: []Edit{{module, "if p.Parallel > 0 && c.out+l.outs(g.now, -1) >= p.Parallel {", "if false {"},
			{module, " || p != nil && p.Parallel > 0 && r.attempts == nil && r.cust.out >= p.Parallel", " || p == nil && false"}}, Runs: []string{simTwo + "capped"}},
	{Name: "ceilings", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(module, "\treturn units <= c.ceil\n", "\treturn true\n"), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "the shared part of a ceiling", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(module, "\treturn units <= c.pool\n", "\treturn true\n"), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "what is sent is taken off the ceiling", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(module, "\t\tc.ceil -= r.Units\n", "\t\tc.ceil -= 0\n"), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "grants are taken off the shared part", Rule: "ceilings kept",
		Edits: edit(module, "\t\tc.pool -= r.Units\n", "\t\tc.pool -= 0\n"), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "a ceiling starts empty", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(module, "poolAt: g.born}", "poolAt: g.born, ceil: p.CeilingBurst, pool: p.CeilingBurst}"),
		Runs:  []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "ceilings are split among gateways", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(module, "\tpart := (1 - poolShare) / n\n", "\tpart := (1 - poolShare)\n\t_ = n\n"), Runs: []string{simOne + "ceilings"}},
	{Name: "one gateway pays out the shared part", Rule: "ceilings kept",
		Edits: edit(module, "if c.prime != g.s.Me || c.plan.CeilingRate <= 0 {", "if c.plan.CeilingRate <= 0 {"), Runs: []string{simOne + "ceilings"}},
	// ---- The module: servers ----
	{Name: "cold servers get their part", Rule: "cold nodes stand", Unit: "./policy",
		Edits: edit(module, "\treturn s.inflight < 2 && (sum+work <=", "\treturn true || s.inflight < 2 && (sum+work <="),
		Runs:  []string{simOne + "cold", "sim -shrink=false -schedules 12 -for 15s -planners 0 -forwarders 40 -scenario cold"},
		Why: "without it no run sent a cold node more than 0.75 of its budget: the limit for each server and what it learns of a slow one hold too; " +
			"it is the one place that holds the stated rule, and stays for it"},
	{Name: "no new work for a node that drains", Rule: "drains kept", // the module, the pool and the last check before a write each hold it alone
		Edits: []Edit{{module, "if s.State != Up || g.now < s.downUntil ||", "if g.now < s.downUntil ||"},
			{in + "backends.go", "a.be == nil || a.be.state != policy.Up ||", "a.be == nil ||"},
			{in + "pool.go", "return !c.closed && !c.dead.Load() && c.be.state == policy.Up &&", "return !c.closed && !c.dead.Load() &&"}},
		Runs: []string{labOne + "drains", labTwo + "drains"}},
	{Name: "a node that drains is told from one that is up", Rule: "drains kept",
		Edits: edit("internal/roster/roster.go", `"terminating": policy.Draining`, `"terminating": policy.Up`),
		Runs:  []string{labOne + "drains", labTwo + "drains"}},
	{Name: "what changed is passed on whole", Rule: "drains kept", Unit: "./internal/ingress",
		Edits: edit("internal/roster/roster.go", "if t.Full || len(t.Servers) > 0 {", "if t.Full || len(t.Servers) > 0 && t.Version%2 == 0 {"),
		Runs:  []string{labOne + "drains", labTwo + "drains"}},
	// ---- The ingress: what an attempt's end means ----
	{Name: "silence to the end may have run", Rule: "no effect twice", Unit: "./internal/ingress",
		Edits: edit(in+"backends.go", "in.finish(a, result{status: policy.Timeout}, in.now)", "in.finish(a, result{status: policy.Moot}, in.now)"),
		Runs:  []string{labOne + "answers", labTwo + "answers"}},
	{Name: "a connection lost after the last byte may have run", Rule: "no effect twice", Unit: "./internal/ingress",
		Edits: edit(in+"pool.go", "status := policy.Reset\n", "status := policy.ConnectFailed\n"),
		Runs:  []string{labOne + "answers"}},
	{Name: "a spoilt answer may have run", Rule: "no effect twice", Unit: "./internal/ingress",
		Edits: edit(in+"reply.go", "return result{status: policy.Error, spoilt: why}", "return result{status: policy.Full, spoilt: why}"),
		Runs:  []string{labOne + "answers"}},
	{Name: "an error answer may have run", Rule: "no effect twice", Unit: "./internal/ingress",
		Edits: edit(in+"reply.go", "res := result{status: policy.Error}\n", "res := result{status: policy.Full}\n"),
		Runs:  []string{labOne + "answers"}},
	{Name: "an attempt that is given up ends", Rule: "one attempt out", Unit: "./internal/ingress",
		Edits: edit(in+"backends.go", "\t\tin.closeConn(a.conn)\n\t\ta.conn = nil\n", "\t\ta.conn.attempt = nil\n\t\ta.conn = nil\n"),
		Runs:  []string{labOne + "answers", labOne + "snow"}},
	{Name: "a copy of an answer is no answer", Rule: "one answer", Unit: "./internal/ingress", // its bytes, what waits on a connection, and the rest before use each tell it
		Edits: []Edit{{in + "pool.go", "if res.status == policy.OK && hash == last.hash && at-last.at < in.backends.copyS {", "if false {"},
			{in + "pool.go", "if n > 0 && !c.busy.Load() {", "if n > 0 && !c.busy.Load() && false {"},
			{in + "pool.go", "stray := len(buf.b) > size\n\t\t\tbuf.drop(len(buf.b))", "stray := false\n\t\t\tbuf.drop(size)"},
			{in + "pool.go", "in.now-c.idleAt > in.backends.idleS || !silent(c.raw) {", "in.now-c.idleAt > in.backends.idleS {"}},
		Runs: []string{labOne + "answers", labTwo + "answers"}},
	// ---- The ingress: clients ----
	{Name: "an id that is open is not taken again", Rule: "no request lost", Unit: "./internal/ingress",
		Edits: edit(in+"requests.go", "case in.requests[q.ID] != nil:", "case in.requests[q.ID] != nil && false:"),
		Runs:  []string{labOne + "rude", labTwo + "rude"}},
	{Name: "answers keep the order of their commands", Rule: "answers in order", Unit: "./internal/ingress",
		Edits: edit(in+"clients.go", "\tn, bytes := 0, len(c.pending)\n", "\tn, bytes := 0, len(c.pending)\n\tfor i, s := range c.slots {\n\t\tif s.answer != nil && c.slots[0].answer == nil {\n\t\t\tc.slots[0], c.slots[i] = s, c.slots[0]\n\t\t}\n\t}\n"),
		Runs:  []string{labOne + "rude"}},
	{Name: "a planned restart answers what was taken", Rule: "no request lost", Unit: "./internal/ingress",
		Edits: edit(in+"clients.go", "\t\tif c.idle() && !c.passing && (c.ending || silent(c.raw)) {\n\t\t\tin.closeClient(c)", "\t\tif true {\n\t\t\tin.closeClient(c)"),
		Runs:  []string{"lab -forwarders 4 -planners 0 -nodes 6 -for 30s -scenario playoff -kinds roll,snow,snow -every 600ms"}}, // requests that last longer than the time in which new connections are taken
	{Name: "a client's hang-up ends its own requests alone", Rule: "no request lost",
		Edits: edit(in+"clients.go", "\t\tif s.req != nil && !s.req.over {\n\t\t\tin.end(s.req)\n\t\t\tin.gate.Gone(in.now, s.req.ID)\n\t\t}\n", "\t\tif s.req != nil && !s.req.over {\n\t\t\tfor _, r := range in.requests {\n\t\t\t\tif !r.over {\n\t\t\t\t\tin.end(r)\n\t\t\t\t\tin.gate.Gone(in.now, r.ID)\n\t\t\t\t}\n\t\t\t}\n\t\t}\n"),
		Runs:  []string{labOne + "rude"}},
	{Name: "a bad command ends no other's request", Rule: "no request lost",
		Edits: edit(in+"clients.go", "\tanswer := errorOf(bad)\n\tc.buf.free()\n", "\tanswer := errorOf(bad)\n\tc.buf.free()\n\tin.post(at, func() {\n\t\tfor x := range in.clients.all {\n\t\t\tin.closeClient(x)\n\t\t}\n\t})\n"),
		Runs:  []string{labOne + "rude"}},
	// ---- Forwarders ----
	{Name: "only the promised leader is followed", Rule: "one attempt out", Unit: "./internal/forward", // by epoch and promise, and by the handle of the telling
		Edits: []Edit{{core, "ok := k.led && k.holder == p && k.epoch == epoch && (c.now < k.until || !fleet.Fenced)", "ok := true"},
			{core, "\tdelete(c.told, o.handle)\n\tif o.handle != 0", "\tif o.handle != 0"},
			{core, "\t\tif o.out > 0 { // never two attempts out", "\t\tif o.out > 9 { // never two attempts out"}},
		Runs: []string{simTwo + "storm", simTwo + "programs"}},
	{Name: "never two attempts out, whoever asks", Rule: "one attempt out", Unit: "./internal/forward", // a request waits for the end of its attempt, and a second one is not made
		Edits: []Edit{{core, "\t\tif o.out > 0 { // never two attempts out", "\t\tif o.out > 9 { // never two attempts out"},
			{core, "\t\tc.untell(o)\n\t\tif !o.over && o.out == 0 {", "\t\tc.untell(o)\n\t\tif !o.over {"},
			{core, "return !o.ran && o.out == 0 ||", "return !o.ran ||"}},
		Runs: []string{simTwo + "programs"}},
	{Name: "a successor runs no unsafe request again", Rule: "no effect twice", Unit: "./internal/forward",
		Edits: edit(core, "case !o.ran || k.Effect == policy.Safe:", "case !o.ran || k.Effect != policy.Keyed:"), Runs: []string{simTwo + "programs"}},
	{Name: "a forwarder refuses nothing that may have run", Rule: "no effect twice", Unit: "./internal/forward",
		Edits: edit(core, "return !o.ran && o.out == 0 ||", "return true || !o.ran && o.out == 0 ||"), Runs: []string{simTwo + "programs"}},
	{Name: "a forwarder ends what nobody answers", Rule: "no request lost", Unit: "./internal/forward",
		Edits: edit(core, "\tc.overdue()\n", ""), Runs: []string{simTwo + "programs", simTwo + "storm"}},
	{Name: "a promise runs out before another is given", Rule: "one leader", Unit: "./internal/forward",
		Edits: edit(core, "case m.Epoch > k.epoch && (c.now >= k.until || k.holder == p && k.life == life):", "case m.Epoch > k.epoch:"),
		Runs:  []string{simTwo + "programs"}},
	{Name: "a forwarder promises nothing right after its start", Rule: "one leader", Unit: "./internal/forward",
		Edits: edit(core, "\t\tk.until = now + cfg.LeaseS // this", "\t\tk.until = now // this"), Runs: []string{"sim -shrink=false -schedules 100 -for 30s -planners 3 -scenario blinks"}},
	{Name: "at a forwarder a reset may have run", Rule: "no effect twice",
		Edits: edit(core, "if never := r.Status == policy.Full || r.Status == policy.ConnectFailed ||", "if never := r.Status == policy.Full || r.Status == policy.Reset || r.Status == policy.ConnectFailed ||"),
		Runs:  []string{simTwo + "programs"}},
	{Name: "a forwarder knows how long keys are remembered", Rule: "no effect twice",
		Edits: edit(core, "return k.KeyScope == policy.ScopeAll && c.now < o.ranAt+k.KeyTTLS-keySlackS-k.AimS", "return k.KeyScope == policy.ScopeAll"),
		Runs:  []string{simTwo + "keys"}},
	{Name: "a forwarder remembers what was passed on", Rule: "quotas kept", Unit: "./internal/forward",
		Edits: edit(core, "\t\t\tc.usage.note(o.Customer, used{o.plan, m.Epoch, m.Round, m.Value, c.now})\n", ""), Runs: []string{simTwo + "ceilings"}},
	{Name: "a forwarder tells of what it has out", Rule: "caps kept", Unit: "./internal/forward",
		Why:   "what it adds lies within the twice the cap that is stated of a change of leaders; its unit test fails without it",
		Edits: edit(core, "\t\tc.orphans[o.Customer] = orphans{o.plan, c.orphans[o.Customer].out + o.out}\n", "\t\tc.orphans[o.Customer] = orphans{o.plan, 0}\n"),
		Runs:  []string{simTwo + "capped"}},
	{Name: "a forwarder that started tells so", Rule: "quotas kept", Unit: "./internal/forward",
		Edits: edit("internal/forward/usage.go", "by: map[string]used{}, lossyAt: born}", "by: map[string]used{}, lossyAt: born - 1e6}"),
		Runs:  []string{"sim -shrink=false -schedules 200 -for 20s -planners 3 -scenario blinks"}},
	// ---- Planners ----
	{Name: "a lead ends before the promises that it rests on", Rule: "one leader",
		Edits: edit("internal/fleet/fleet.go", "LeadShare = 0.95", "LeadShare = 1.6"), Runs: []string{simTwo + "programs"}},
	{Name: "a lead runs out", Rule: "one leader", Unit: "./internal/planner",
		Edits: []Edit{{leases, "return k.leads && k.epoch == epoch && (now < k.endsAt || !fleet.Fenced)", "return k.leads && k.epoch == epoch"},
			{leases, "if k := &l.cells[i]; k.leads && now >= k.endsAt && fleet.Fenced {", "if k := &l.cells[i]; k.leads && now >= k.endsAt+1e9 && fleet.Fenced {"}},
		Runs: []string{simTwo + "programs"}},
	{Name: "a majority has to promise", Rule: "one leader", Unit: "./internal/planner",
		Edits: edit("internal/fleet/fleet.go", "return p.Forwarders/2 + 1", "return p.Forwarders / 2"), Runs: []string{simTwo + "programs", "sim -shrink=false -schedules 200 -for 30s -planners 3 -scenario programs"}},
	{Name: "a successor takes windows for empty until all have told", Rule: "quotas kept", Unit: "./internal/planner",
		Edits: edit(windows, "\t\tif w.missing > 0 {\n\t\t\tc.room = min(", "\t\tif false {\n\t\t\tc.room = min("), Runs: []string{simTwo + "ceilings"}},
	{Name: "a successor believes what was told of windows", Rule: "quotas kept", Unit: "./internal/planner",
		Edits: edit(windows, "return min(p.Burst, p.Burst-c.debt+p.Rate*max(now-c.at, 0))", "return p.Burst"), Runs: []string{simTwo + "ceilings"}},
	{Name: "of several tales the latest pass holds", Rule: "quotas kept", Unit: "./internal/planner",
		Edits: edit(windows, "if !c.known || m.Handle > c.epoch || m.Handle == c.epoch && m.Round > c.toldSeq {", "if !c.known || m.Handle < c.epoch || m.Handle == c.epoch && m.Round < c.toldSeq {"),
		Runs:  []string{simTwo + "ceilings"}},
	{Name: "passes are taken off a window", Rule: "quotas kept", Unit: "./internal/planner",
		Edits: edit(windows, "\tc.room -= units\n\tw.passes++", "\tw.passes++"), Runs: []string{simTwo + "ceilings"}},
	{Name: "a planner believes in what a lost forwarder has out", Rule: "caps kept", Unit: "./internal/planner",
		Why:   "what it adds lies within the twice the cap that is stated of a change of leaders; its unit test fails without it",
		Edits: edit(host, "\t\t\th.count(r.cell, c.win.setOuts(now, f, r.customer, r.plan, outs[r.customer]))\n", ""), Runs: []string{simTwo + "lonely"}},
	{Name: "a planner tells its module of earlier passes", Rule: "quotas kept", Unit: "./internal/planner",
		Edits: edit(host, "\th.count(int(m.Cell), c.win.first(h.now, m.Name, int(m.Plan)))\n", "\tc.win.first(h.now, m.Name, int(m.Plan))\n"), Runs: []string{simTwo + "ceilings"}},
	// ---- Membership from etcd ----
	{Name: "a stale source takes nothing back", Rule: "none on a stale word", Unit: "./internal/member",
		Edits: edit("internal/member/core.go", "if !s.current && s.milder(n) {", "if false {"), Runs: []string{labEtcd}},
	{Name: "what was compacted away is read anew", Rule: "views equal the truth", Unit: "./internal/etcdsource",
		Edits: edit("internal/etcdsource/source.go", "\t\t*why = fmt.Sprintf(\"revision %d was compacted away\", s.f.head.Revision+1)\n", ""), Runs: []string{labEtcd + " -troubles cut-and-compacted"}},
	{Name: "an older state is told three times", Rule: "none on a stale word", Unit: "./internal/etcdsource",
		Edits: edit("internal/etcdsource/follow.go", "if f.fell++; f.fell < confirmMost || len(f.fellBy) < f.members {", "if false {"), Runs: []string{labEtcd + " -troubles a-liar"}},
	{Name: "what a read does not list is gone", Rule: "views equal the truth", Unit: "./internal/member",
		Edits: edit("internal/member/core.go", "\t\tif !listed[id] {\n\t\t\tn.State = Gone", "\t\tif false {\n\t\t\tn.State = Gone"), Runs: []string{labEtcd}},
	{Name: "the last word of an answer holds", Rule: "none on a stale word", Unit: "./internal/etcdsource",
		Edits: edit("internal/etcdsource/follow.go", "\t\t\twords[i] = w\n", "\t\t\t_ = i\n"), Runs: []string{labEtcdLong + " -troubles cut"}},
	{Name: "an agent remembers what etcd told", Rule: "none on a stale word", Unit: "./internal/agent",
		Edits: edit("internal/agent/agent.go", "\ta.core.Remember(was.Known)\n", ""), Runs: []string{labEtcd}},
	// ---- Links ----
	{Name: "a silent link ends", Rule: "no request lost", Unit: "./internal/link",
		Why:   "promises that run out hold the rules without it; it bounds how long a takeover takes, which eiderfleet lab -deaths and -failsafes measure",
		Edits: edit("internal/link/conn.go", "NewConn(c net.Conn, silence time.Duration) *Conn {\n", "NewConn(c net.Conn, silence time.Duration) *Conn {\n\tsilence = time.Hour\n"),
		Runs:  []string{labTwo + "programs"}},
}
