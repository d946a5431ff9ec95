package mutation

// Runs from which a mutation names those that need its guard, and files that mutations edit. Names of runs end in One
// for a single-level fleet and in Two for a two-level fleet. A mutation lists runs in virtual time first, because they
// are quick.
const (
	simOne          = "sim -shrink=false -schedules 24 -for 30s -planners 0 -scenario "
	simTwo          = "sim -shrink=false -schedules 24 -for 30s -planners 3 -scenario "
	labOne          = "lab -forwarders 4 -planners 0 -nodes 6 -for 15s -scenario "
	labDrain        = "lab -forwarders 6 -planners 0 -nodes 8 -for 14s -scenario soak -kinds drained-deaf -every 500ms"
	labTwo          = "lab -forwarders 5 -planners 3 -nodes 6 -for 15s -scenario "
	labEtcd         = "membershipagent lab -quiet -forwarders 6 -planners 0 -for 60s -every 300ms -seed 4"
	labEtcdLong     = "membershipagent lab -quiet -forwarders 6 -planners 0 -for 100s -every 300ms -seed 5"
	simManyGateways = "sim -shrink=false -schedules 8 -for 30s -planners 0 -forwarders 12 -scenario "
	simSlots        = "sim -shrink=false -schedules 8 -for 12s -planners 0 -forwarders 80 -scenario "
	simShed         = "sim -overload -shrink=false -schedules 8 -for 25s -planners 0 -forwarders 8 -scenario "
	simShedTwo      = "sim -overload -shrink=false -schedules 8 -for 25s -planners 3 -forwarders 5 -scenario "
	hostile         = "hostile -case "
	gatewayFile     = "policy/gateway.go"
	policyDir       = "policy/"
	shedLevelFile   = "internal/decision/loadshed/level.go"
	admissionFile   = "internal/decision/loadshed/admission.go"
	shedGossipFile  = "internal/decision/loadshed/gossip.go"
	quotaFile       = "internal/decision/quota/quota.go"
	hardLimitFile   = "internal/decision/hardlimit/hardlimit.go"
	slotTableFile   = "internal/decision/slotlease/table.go"
	forwarderFile   = "internal/controlplane/forwarder/core.go"
	migrationFile   = "internal/controlplane/forwarder/migrate.go"
	windowsFile     = "internal/controlplane/planner/windows.go"
	leasesFile      = "internal/controlplane/planner/leases.go"
	ingressDir      = "internal/dataplane/ingress/"
	replyFile       = "internal/dataplane/callprotocol/reply.go"
)

func edit(file, old, new string) []Edit { return []Edit{{file, old, new}} }

// List holds the mutations. The testbed must detect each of them, apart from those with a Reason.
var List = []Mutation{
	// ---- Load shedding coordinated across the fleet ----
	{Name: "what can't be served is turned away at the door", Rule: "overload shed as one", Unit: "./internal/decision/loadshed",
		Edits: edit(admissionFile, "if s.level >= minLevel && accountQuantile(", "if s.level > 2 && accountQuantile("), Runs: []string{simShed + "overload", simShed + "overload-high"}},
	{Name: "the level comes to what is served", Rule: "overload shed as one", Unit: "./internal/decision/loadshed",
		Edits: []Edit{{shedLevelFile, "s.levelFor(now, capacity*(1-drainMargin*excess))", "s.levelFor(now, 0*(1-drainMargin*excess))"},
			{shedLevelFile, "if target := s.levelFor(now, s.capacity); s.capacity > 0 &&", "if target := s.levelFor(now, s.capacity); s.capacity > 1e9 &&"}},
		Runs: []string{simShed + "overload-low", simShed + "overload"}},
	{Name: "and falls again", Rule: "overload shed as one", Unit: "./internal/decision/loadshed",
		Edits: []Edit{{shedLevelFile, "s.level -= fall * (1 - wait/targetWait) * dt", "s.level -= 0.01 * fall * (1 - wait/targetWait) * dt"}, {shedLevelFile, "if target := s.levelFor(now, s.capacity); s.capacity > 0 &&", "if target := s.levelFor(now, s.capacity); s.capacity > 1e9 &&"}},
		Runs:  []string{simShed + "overload", simShed + "overload-low"}},
	{Name: "gateways meet in one level", Rule: "overload shed as one", Unit: "./internal/decision/loadshed",
		Edits: edit(shedGossipFile, "s.level += (median(s.freshLevels) - s.level) * min(dt/convergeTauS, 1)", "s.level += 0 * (median(s.freshLevels) - s.level)"), Runs: []string{simShed + "overload", simShed + "overload-busy", simShed + "overload-low"}},
	{Name: "cells of different planners meet in one level", Rule: "overload shed as one", Unit: "./internal/controlplane/planner",
		Edits: edit(forwarderFile, "if other != planner && c.planners[other].linked {", "if other != planner && c.planners[other].linked && false {"), Runs: []string{simShedTwo + "overload-low", simShedTwo + "overload"}},
	{Name: "plans are served alike", Rule: "overload shed as one",
		Edits: edit(policyDir+"request.go", "g.shedder.PlanWeight(req.plan.Weight), g.accountFor(incoming)", "req.plan.Weight, g.accountFor(incoming)"), Runs: []string{simShed + "overload", simShed + "overload-high"},
		Reason: "few requests wait after admission: without the guard the worst plan's service falls from 0.89 to 0.86 of the best plan's at a demand of 2.8 times the capacity, in the mean of six runs"},
	{Name: "what earns least goes first", Rule: "overload shed as one", Unit: "./internal/decision/loadshed",
		Edits: edit(admissionFile, "return p.ClassRank + 1, p.ClassCount + 1", "return p.ClassCount - p.ClassRank, p.ClassCount + 1"), Runs: []string{simShed + "overload"}},
	{Name: "lots change with time", Rule: "overload shed as one", Unit: "./internal/decision/loadshed",
		Edits: edit(admissionFile, "goldenSection*float64(slice)", "0*float64(slice)"), Runs: []string{simShed + "overload"},
		Reason: "without it accounts with a high quantile are starved for as long as an overload lasts: 20 accounts instead of 4 in four runs of 60 s; no rule checks this"},
	{Name: "later tries are told where most are refused", Rule: "overload shed as one",
		Edits: edit(policyDir+"request.go", "commonTimeoutFraction * g.shedder.CommonTimeoutFactor()\n", "commonTimeoutFraction * 1\n"), Runs: []string{simShed + "overload", simShed + "overload-high"},
		Reason: "without it wasted work rises from 6 to 13% at a demand of 5 times the capacity, in the mean of six runs of 25 s; single runs vary too much for a bound between the two"},
	// ---- Decision module: retries and rejections ----
	{Name: "unsafe runs once", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"retry.go", "case req.firstRunBackend == nil || req.class.Idempotency == Idempotent ||", "case req.firstRunBackend == nil || req.class.Idempotency != KeyedIdempotent ||"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "keys are remembered for a time", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"retry.go", "req.class.Idempotency == KeyedIdempotent && g.now <= req.firstRunAt+req.class.KeyTTLS-maxStallS", "req.class.Idempotency == KeyedIdempotent"),
		Runs:  []string{simOne + "keys", simTwo + "keys"}},
	{Name: "no harmless refusal of what may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"request.go", "if mayHaveRun := req.firstRunBackend != nil || req.inFlight > 0; !MayReject(req.class.Class, mayHaveRun) {", "if mayHaveRun := req.inFlight > 9; !MayReject(req.class.Class, mayHaveRun) {"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "a reset may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"retry.go", "if !outcome.Status.NeverRan() && req.firstRunBackend == nil {", "if !outcome.Status.NeverRan() && outcome.Status != Reset && req.firstRunBackend == nil {"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "an error may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"retry.go", "if !outcome.Status.NeverRan() && req.firstRunBackend == nil {", "if !outcome.Status.NeverRan() && outcome.Status != Error && req.firstRunBackend == nil {"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "a time-out may have run", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"retry.go", "if !outcome.Status.NeverRan() && req.firstRunBackend == nil {", "if !outcome.Status.NeverRan() && outcome.Status != Timeout && req.firstRunBackend == nil {"),
		Runs:  []string{simOne + "answers", labOne + "answers"}},
	{Name: "the first attempt that may have run counts", Rule: "no effect twice",
		Edits: edit(policyDir+"retry.go", "if !outcome.Status.NeverRan() && req.firstRunBackend == nil {", "if !outcome.Status.NeverRan() {"),
		Runs:  []string{simOne + "keys", simTwo + "keys"}},
	{Name: "a request has so many attempts", Rule: "attempts limited", Unit: "./policy",
		Edits: edit(policyDir+"retry.go", "case len(req.attempts) >= max(1, g.settings.MaxAttempts):", "case len(req.attempts) >= 99:"), Runs: []string{simOne + "errors"}},
	{Name: "and over a change of leaders too", Rule: "attempts limited", Unit: "./internal/controlplane/forwarder",
		Edits: edit("internal/controlplane/forwarder/actions.go", "len(request.attempts) >= c.cfg.MaxAttempts", "len(request.attempts) >= 99"), Runs: []string{simTwo + "errors"}},
	{Name: "a key goes where it is remembered", Rule: "no effect twice", Unit: "./policy",
		Edits: edit(policyDir+"selection.go", "\t\treq.class.KeyScope.Same(req.firstRunBackend.Backend, backend.Backend)\n", "\t\tScopeAll.Same(req.firstRunBackend.Backend, backend.Backend)\n"), Runs: []string{simOne + "zones"}},
	// ---- Decision module: quotas, concurrency limits and hard limits ----
	{Name: "the owner's window", Rule: "quotas kept", Unit: "./policy",
		Edits: edit(policyDir+"quota_owner.go", "case plan.Rate > 0 && units > ledger.Available:", "case plan.Rate > 0 && units > ledger.Available+1e9:"), Runs: []string{simTwo + "ceilings"}},
	{Name: "what was let in is taken off the window", Rule: "quotas kept", Unit: "./policy",
		Edits: edit(policyDir+"admission.go", `		g.ledger(account).Charge(units, maxDebtFraction*account.plan.Burst)
`, `		g.ledger(account)
`), Runs: []string{simTwo + "ceilings"}},
	{Name: "cap on open attempts", Rule: "caps kept", Unit: "./policy", // checked at admission and again when a queued request is sent
		Edits: []Edit{{policyDir + "quota_owner.go", "case plan.MaxConcurrency > 0 && g.freeSlots(account) <= 0:", "case false:"},
			{policyDir + "adaptive_limit.go", " || req.account != nil && req.attempts == nil && g.atConcurrencyLimit(req.account)", ""}}, Runs: []string{simTwo + "capped"}},
	{Name: "ceilings", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(hardLimitFile, "return p.Rate <= 0 || units <= l.Local.Refill(now, p.Rate*p.localFraction(), p.Burst*p.localFraction())", "return p.Rate <= 0 || l.Local.Refill(now, p.Rate*p.localFraction(), p.Burst*p.localFraction()) != units+0.123"), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "the shared part of a ceiling", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(hardLimitFile, "\t\tunits <= l.Shared.Refill(", "\t\tunits+1e9 >= l.Shared.Refill("), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "what is sent is taken off the ceiling", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(hardLimitFile, `		l.Local.Level -= units
`, `		l.Local.Level -= 0
`), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "grants are taken off the shared part", Rule: "ceilings kept",
		Edits: edit(hardLimitFile, `	l.Shared.Level -= units
	return units
`, `	return units
`), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "a ceiling starts empty", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(policyDir+"account.go", "hardlimit.NewLimiter(g.startedAt)}", "hardlimit.Limiter{Local: quota.Bucket{Level: plan.HardLimitBurst, UpdatedAt: g.startedAt}, Shared: quota.Bucket{Level: plan.HardLimitBurst, UpdatedAt: g.startedAt}}}"),
		Runs:  []string{simTwo + "ceilings", simOne + "ceilings"}},
	{Name: "ceilings are split among gateways", Rule: "ceilings kept", Unit: "./policy",
		Edits: edit(hardLimitFile, "return (1 - p.SharedFraction()) / float64(max(p.Gateways, 1))", "return 1 - p.SharedFraction()"), Runs: []string{simOne + "ceilings"}},
	{Name: "one gateway pays out the shared part", Rule: "ceilings kept",
		Edits: edit(hardLimitFile, "return p.OwnsShared && p.Rate > 0 &&", "return p.Rate > 0 &&"), Runs: []string{simOne + "ceilings"}},
	{Name: "what owes the ceiling waits until it is paid", Rule: "ceilings kept",
		Edits: edit(policyDir+"selection.go", `	if req.hardLimitUnpaid && !g.hardLimitCovers(req) {
`, `	if false {
`), Runs: []string{simTwo + "ceilings", simOne + "ceilings"}},
	// ---- Decision module: the shared count of a single-level fleet ----
	{Name: "a grant is taken off the window", Rule: "quotas kept", Unit: "./policy",
		Edits: edit(policyDir+"quota_owner.go", `		ledger.Available -= grant
`, ""), Runs: []string{simOne + "calm"}},
	{Name: "a grant is charged once", Rule: "quotas can be used",
		Edits: edit(policyDir+"quota_owner.go", `		ledger.Available -= grant
`, `		ledger.Available -= 2 * grant
`), Runs: []string{simOne + "calm", simOne + "friday"}},
	{Name: "a report is counted once", Rule: "quotas can be used", Unit: "./internal/decision/quota",
		Edits: edit(quotaFile, `Demand: demand, ReportedAt: now}
`, `Demand: demand, ReportedAt: now}
	delta += max(delta, 0)
`), Runs: []string{simOne + "calm", simOne + "friday"}},
	{Name: "lives of a member are told apart", Rule: "quotas can be used",
		Reason: "a new incarnation's total starts at 0, and compared with the larger total of the former incarnation this counts as returned units; the error bound allows one more window per restart",
		Edits:  edit(policyDir+"quota_owner.go", "g.now-member.ReportedAt <= memberTTLS && member.Incarnation == incarnation {", "g.now-member.ReportedAt <= memberTTLS {"), Runs: []string{simOne + "blinks", simOne + "programs"}},
	{Name: "members split a room", Rule: "quotas kept",
		Reason: "reports follow a tenth of a second later and the excess becomes debt: no window of one second shows it at 4, 12 or 80 ingresses",
		Edits:  edit(policyDir+"admission.go", "share := available * localDemand / max(localDemand+otherDemand, epsilon)\n", "share := available\n"), Runs: []string{simOne + "crowd", simManyGateways + "crowd"}},
	{Name: "a silence ends", Rule: "quotas can be used",
		Edits: edit(policyDir+"quota_member.go", "account.backoffUntil = g.now + reply.BackoffS\n", "account.backoffUntil = g.now + reply.BackoffS*100\n"), Runs: []string{simOne + "calm", simManyGateways + "crowd"}},
	{Name: "a member that lets in more than its split is counted", Rule: "quotas kept", Unit: "./internal/decision/quota",
		Edits: edit(quotaFile, "l.Available = max(l.Available-units, min(l.Available, -maxDebt))", "l.Available = max(l.Available-units/2, min(l.Available, -maxDebt))"), Runs: []string{simOne + "calm", simOne + "friday"}},
	{Name: "the local window is a part of the whole", Rule: "quotas kept",
		Reason: "the available units in the owner's last reply bound a member as well, and the units that it admits become debt once it reports them",
		Edits:  edit(policyDir+"quota_member.go", "account.localWindow.Refill(g.now, plan.Rate/gateways, burst)\n", "account.localWindow.Refill(g.now, 9*plan.Rate, 9*burst*gateways)\n"), Runs: []string{simOne + "programs", simManyGateways + "crowd"}},
	{Name: "a window fills", Rule: "quotas can be used", Unit: "./policy",
		Edits: edit(policyDir+"quota_owner.go", "ledger.Available+rate*(g.now-ledger.UpdatedAt)), g.now", "ledger.Available+rate/2*(g.now-ledger.UpdatedAt)), g.now"), Runs: []string{simOne + "calm"}},
	{Name: "a window has a brim", Rule: "quotas kept", Unit: "./policy",
		Edits: edit(policyDir+"quota_owner.go", "limit := account.plan.Burst - ", "limit := 9*account.plan.Burst - "), Runs: []string{simOne + "calm", simOne + "friday"}},
	{Name: "a young count believes what members heard", Rule: "quotas kept",
		Reason: "the error bound allows one more window for an owner that restarts without state; this bound is the next to be tightened",
		Edits:  edit(policyDir+"quota_owner.go", "if report.Known && g.now-ledger.StartedAt < ledgerRecoveryS {", "if false {"), Runs: []string{simOne + "programs", simOne + "blinks"}},
	{Name: "lost reports are no silence", Rule: "quotas can be used", Unit: "./internal/decision/failuredetector",
		Reason: "without it members bypass owners for a second at a time, which costs 1% of service at 80 ingresses; no rule checks this",
		Edits:  edit("internal/decision/failuredetector/failuredetector.go", "\tmaxThreshold      = 4 ", "\tmaxThreshold      = 2 "), Runs: []string{simOne + "friday"}},
	// ---- Decision module: slot leases and prefetched units ----
	{Name: "a place comes back by itself", Rule: "caps kept", Unit: "./internal/decision/slotlease",
		Reason: "without it slots stay idle, which no rule checks: plan resto falls to 0.85 of its share at 300 ingresses",
		Edits:  edit(slotTableFile, "now + min(leaseS, MaxLeaseS) + GraceS,", "now + 10*min(leaseS, MaxLeaseS) + GraceS,"), Runs: []string{simSlots + "places"}},
	{Name: "a place is lent once", Rule: "caps kept", Unit: "./internal/decision/slotlease",
		Edits: edit(slotTableFile, `if l.member != except {
			slots += l.slots
`, `if l.member != except {
			slots += 0 * l.slots
`), Runs: []string{simSlots + "places-slow"}},
	{Name: "a place in use is renewed", Rule: "caps kept", Unit: "./policy",
		Reason: "an attempt that outlives its slot lease exceeds the concurrency limit by one until it ends; the error bound of a limit of two allows this",
		Edits:  edit(policyDir+"concurrency_limit.go", "account.ownerLeases && req.inFlight > 0 &&\n\t\taccount.leasedSlots.Count(g.now+slotlease.RenewBeforeS) < account.inFlight {", "account.ownerLeases && req.inFlight > 99 {"), Runs: []string{simSlots + "places-slow"}},
	{Name: "a new life lends nothing at first", Rule: "caps kept", Unit: "./policy",
		Reason: "slot leases of its former incarnation expire within half a second; the error bound allows twice the concurrency limit for that long",
		Edits:  edit(policyDir+"gateway.go", "slotLeasingFrom: now + slotlease.ReportLeaseS,", "slotLeasingFrom: 0 * slotlease.ReportLeaseS,"), Runs: []string{simSlots + "places-storm"}},
	{Name: "units ahead keep their place below the ceiling's brim", Rule: "ceilings kept", Unit: "./internal/decision/hardlimit",
		Reason: "in no schedule do requests use up a full hard limit within the second in which prefetched units are spent; in the unit test they do",
		Edits:  edit(hardLimitFile, "-l.prefetched.Sum(now, PrefetchS+sendDelayS))", ")"), Runs: []string{simOne + "storm", simOne + "ceilings"}},
	// ---- Cordons by operators of a two-level fleet ----
	{Name: "a majority of forwarders has the word", Rule: "nodes that operators hold left alone", Unit: "./internal/controlplane/cordon",
		Edits: edit("internal/controlplane/cordon/coordinator.go", "if op.answers < c.majority {", "if op.answers < 1 {"), Runs: []string{simTwo + "hands"}},
	{Name: "a yes waits for older leads to end", Rule: "nodes that operators hold left alone", Unit: "./internal/controlplane/cordon",
		Edits: edit("internal/controlplane/cordon/coordinator.go", "op.phase, op.effectiveAt = awaitingLeaseExpiry, now+c.leaseS", "op.phase, op.effectiveAt = awaitingLeaseExpiry, now+1e-9"), Runs: []string{simTwo + "hands"}},
	{Name: "every planner hears of a hold", Rule: "nodes that operators hold left alone",
		Edits: edit("internal/controlplane/forwarder/cordons.go", "if newer && c.planners[i].cordonCapable {", "if newer && c.planners[i].cordonCapable && i == planner {"), Runs: []string{simTwo + "hands"}},
	{Name: "modules hear of a hold", Rule: "nodes that operators hold left alone",
		Edits: edit("internal/controlplane/planner/cordons.go", "case !uncordoned && backend.State == policy.Up:", "case !uncordoned && backend.State == policy.Up && false:"), Runs: []string{simTwo + "hands"}},
	// ---- Decision module: backends ----
	{Name: "cold servers get their part", Rule: "cold nodes stand", Unit: "./policy",
		Edits: edit(policyDir+"slow_start.go", "\treturn backend.inFlight < slowStartInFlight &&\n\t\t(sent+workS <=", "\treturn true || backend.inFlight < slowStartInFlight &&\n\t\t(sent+workS <="),
		Runs:  []string{"sim -shrink=false -schedules 24 -for 20s -planners 0 -forwarders 60 -scenario back"}},
	{Name: "under overload a cold server's part is of what is answered", Rule: "cold nodes stand",
		Edits: edit(policyDir+"slow_start.go", "min(g.admittedWork.Now(g.now, demandTauS), maxAdmittedToCompleted*g.completedWork.Now(g.now, demandTauS))", "g.admittedWork.Now(g.now, demandTauS)"), Runs: []string{"sim -shrink=false -schedules 24 -for 20s -planners 0 -forwarders 60 -scenario back"}},
	{Name: "no new work for a node that drains", Rule: "drains kept", // the decision module, the connection pool, the last check before a write and the attempt guard each enforce it alone
		Edits: []Edit{{policyDir + "selection.go", "if backend.State != Up || g.now < backend.ejectedUntil {", "if g.now < backend.ejectedUntil {"},
			{ingressDir + "attempt.go", "case a.backend == nil, a.backend.state != policy.Up:", "case a.backend == nil:"},
			{policyDir + "attempt_guard.go", "if a.Backend.State != Up {", "if false {"},
			{ingressDir + "backend_pool.go", "return !c.closed && !c.replies.isRetired() && c.backend.state == policy.Up &&", "return !c.closed && !c.replies.isRetired() &&"}},
		Runs: []string{labOne + "drains", labTwo + "drains"}},
	{Name: "a node that drains is told from one that is up", Rule: "drains kept",
		Edits: edit("internal/membership/discovery/list.go", "Terminating: policy.Draining", "Terminating: policy.Up"),
		Runs:  []string{labOne + "drains", labTwo + "drains"}},
	{Name: "what changed is passed on whole", Rule: "drains kept", Unit: "./internal/dataplane/ingress",
		Edits: edit("internal/membership/discovery/watcher.go", "if list.Full || len(list.Endpoints) > 0 {", "if list.Full || len(list.Endpoints) > 0 && list.Version%2 == 0 {"),
		Runs:  []string{labOne + "drains", labTwo + "drains"}},
	// ---- Ingress: outcomes of attempts ----
	{Name: "silence to the end may have run", Rule: "no effect twice", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"attempt.go", "in.finishAttempt(a, callprotocol.Result{Status: policy.Timeout}, in.now)", "in.finishAttempt(a, callprotocol.Result{Status: policy.NotSent}, in.now)"),
		Runs:  []string{labOne + "answers", labTwo + "answers"}},
	{Name: "a connection lost after the last byte may have run", Rule: "no effect twice", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"backend_reader.go", "status := policy.Reset\n", "status := policy.ConnectFailed\n"),
		Runs:  []string{labOne + "answers"}},
	{Name: "a spoilt answer may have run", Rule: "no effect twice", Unit: "./internal/dataplane/ingress",
		Edits: edit(replyFile, "return Result{Status: policy.Error, Err: cause}", "return Result{Status: policy.Rejected, Err: cause}"),
		Runs:  []string{labOne + "answers"}},
	{Name: "an error answer may have run", Rule: "no effect twice", Unit: "./internal/dataplane/ingress",
		Edits: edit(replyFile, `res := Result{Status: policy.Error}
`, `res := Result{Status: policy.Rejected}
`),
		Runs: []string{labOne + "answers"}},
	{Name: "an attempt that is given up ends", Rule: "one attempt out", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"attempt.go", `		in.closeBackendConn(a.conn)
		a.conn = nil
`, `		a.conn.attempt = nil
		a.conn = nil
`),
		Runs: []string{labOne + "answers", labOne + "snow"}},
	{Name: "a copy of an answer is no answer", Rule: "one answer", Unit: "./internal/dataplane/ingress", // each detects it alone: equal reply bytes, bytes without an expected reply, bytes after a reply, unread bytes before reuse
		Edits: []Edit{{ingressDir + "backend_reader.go", "if !c.replies.acceptValue(hashValue(res.Value), in.backends.replyLimits) {", "if c.replies.acceptValue(hashValue(res.Value), in.backends.replyLimits); false {"},
			{ingressDir + "backend_reader.go", "if n > 0 && !c.replies.awaitedBeforeRead {", "if n > 0 && !c.replies.awaitedBeforeRead && false {"},
			{ingressDir + "backend_reader.go", `stray := r.input.Len() > size
	r.input.Discard(r.input.Len())`, `stray := false
	r.input.Discard(size)`},
			{ingressDir + "backend_pool.go", "in.now-c.replies.idleSince > in.backends.idleTimeoutS || !c.silent() {", "in.now-c.replies.idleSince > in.backends.idleTimeoutS {"}},
		Runs: []string{labOne + "answers", labTwo + "answers"}},
	// ---- Ingress: clients ----
	{Name: "an id that is open is not taken again", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"request.go", "case in.requests[call.ID] != nil, in.predecessorRequests[call.ID] != nil:", "case false:"),
		Runs:  []string{labOne + "rude", labTwo + "rude"}},
	{Name: "answers keep the order of their commands", Rule: "answers in order", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"client_writer.go", `	batch = c.batchBuffer[:0]
`, `	batch = c.batchBuffer[:0]
	for i, s := range c.answerSlots {
		if s.answer != nil && c.answerSlots[0].answer == nil {
			c.answerSlots[0], c.answerSlots[i] = s, c.answerSlots[0]
		}
	}
`),
		Runs: []string{labOne + "rude"}},
	{Name: "a planned restart answers what was taken", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"client_table.go", `		if c.fullyAnswered() && !c.lagging && c.reader != readerTransferring && !c.recentlyOpened(in) {
			in.closeGracefully(c, closeShutdown)`, `		if true {
			in.closeClient(c, closeShutdown)`),
		Runs: []string{"lab -forwarders 4 -planners 0 -nodes 6 -for 30s -scenario playoff -kinds roll,snow,snow -every 600ms"}}, // the requests last longer than the time in which new connections are accepted
	{Name: "a client's hang-up ends its own requests alone", Rule: "no request lost",
		Edits: edit(ingressDir+"client_close.go", `		if s.request != nil && !s.request.completed {
			in.completeRequest(s.request)
			in.decider.HandleDisconnect(in.now, s.request.ID)
		}
`, `		if s.request != nil && !s.request.completed {
			for _, r := range in.requests {
				if !r.completed {
					in.completeRequest(r)
					in.decider.HandleDisconnect(in.now, r.ID)
				}
			}
		}
`),
		Runs: []string{labOne + "rude"}},
	{Name: "a bad command ends no other's request", Rule: "no request lost",
		Edits: edit(ingressDir+"client_bad_input.go", `	answer := errorReply(cause)
	c.input.Release()
`, `	answer := errorReply(cause)
	c.input.Release()
	in.post(at, func() {
		for x := range in.clients.conns {
			in.closeClient(x, closeBadInput)
		}
	})
`),
		Runs: []string{labOne + "rude"}},
	{Name: "requests are refused late in a drain", Rule: "a drained ingress lets go of its clients", Unit: "./policy",
		Edits: edit(policyDir+"drain.go", "if d.active && now-d.startedAt >= drainRejectS {", "if d.active && now-d.startedAt >= 1e9 {"),
		Runs:  []string{labDrain}},
	{Name: "a drained connection ends when all on it is answered", Rule: "drain-pipeline", Unit: "./policy",
		Edits: []Edit{{policyDir + "drain.go", "\tcase c.InputPending:\n\t\treturn false\n", ""},
			{policyDir + "drain.go", "now-d.startedAt >= drainCloseAfterResponseS && now-acceptedAt >= drainReturnGraceS", "now >= d.startedAt"},
			{ingressDir + "drain.go", "\tif in.drain.ClosesAll(in.now) {\n\t\tin.closeSendingSide(", "\tif true {\n\t\tin.closeSendingSide("}},
		Runs: []string{hostile + "drain-pipeline -runs 2"}},
	{Name: "a part of a command holds no connection", Rule: "drain-pipeline", Unit: "./internal/dataplane/ingress",
		Edits: []Edit{{policyDir + "drain.go", "return c.RequestReceived && d.closeAfterResponse(", "return c.RequestReceived && !c.Receiving && d.closeAfterResponse("},
			{policyDir + "drain.go", "now-d.startedAt >= drainCloseAllS }", "now-d.startedAt >= 1e9 }"}},
		Runs: []string{hostile + "drain-pipeline -runs 3"}},
	{Name: "connections are not accepted until the end of a drain", Rule: "drain-pipeline", Unit: "./policy",
		Edits: edit(policyDir+"drain.go", "return d.Elapsed(now) < drainStopAcceptingS", "return true"), Runs: []string{hostile + "drain-pipeline -runs 2"}},
	{Name: "a drain closes connections that are never silent", Rule: "drain-pipeline", Unit: "./policy",
		Edits: edit(policyDir+"drain.go", "now-d.startedAt >= drainCloseAllS }", "now-d.startedAt >= 1e9 }"), Runs: []string{hostile + "drain-pipeline -runs 4"}},
	{Name: "what may be written is asked directly before the write", Rule: "no effect twice", Unit: "./internal/dataplane/ingress",
		Reason: "only the soak has connections that open late, and it detects late writes by the ingresses' own check; the unit test has one such connection",
		Edits:  edit(ingressDir+"send_guard.go", "case now > a.latestStart:", "case false:"),
		Runs:   []string{labOne + "keys"}},
	{Name: "a killed process resets its clients' connections", Rule: "no effect twice", Unit: "./cmd/eiderspread",
		Edits: edit(ingressDir+"client_close.go", "return conn.SetLinger(0)", "return nil"),
		Runs:  []string{labTwo + "successors-die"}},
	{Name: "a command in the reader's hand keeps its connection", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Reason: "the moment in which the reader holds a command is too short for a run to find; the unit test forces it",
		Edits:  edit(ingressDir+"client_close.go", "if c.reader == readerRunning && (!c.socket.Waiting() || len(c.pipelinePermits) > 0) {", "if false {"),
		Runs:   []string{labDrain}},
	{Name: "the end of a reply holds up no client", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Reason: "backends of the testbed have no large values; the unit test has one whose reply stops behind it",
		Edits: edit(ingressDir+"large_value.go", `	if !v.streamAndReport(in, input) {
		return false
	}
	load, err := c.readReplyEnd(input, large.Elements-1, in.backends.replyEndTimeout)
`, `	if v.streamToEnd(in, input) != nil {
		return false
	}
	load, err := c.readReplyEnd(input, large.Elements-1, in.backends.replyEndTimeout)
	in.post(in.clock.Now(), func() { in.handleValueWritten(v) })
`),
		Runs: []string{labOne + "answers"}},
	{Name: "a permit is held until the answer is written", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Reason: "clients of the testbed read as fast as answers come; the unit test has one that does not",
		Edits: edit(ingressDir+"client_writer.go", `	case c.writing:
		in.reserveWaitingAnswers(c)
`, `	case c.writing:
		c.releasePipelinePermits(1)
		in.reserveWaitingAnswers(c)
`),
		Runs: []string{labOne + "rude"}},
	{Name: "a connection that has sent nothing ends with an answer", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Reason: "no client of the testbed pauses between its connect and its first request; the unit test and TestDrain_AnswersFirstRequests do",
		Edits:  edit(ingressDir+"client_close.go", "if c.commandReceived && !c.receivingCommand.Load() {", "if true {"),
		Runs:   []string{labDrain}},
	// ---- Forwarders ----
	{Name: "only the promised leader is followed", Rule: "one attempt out", Unit: "./internal/controlplane/forwarder", // checked by epoch and promise, and by the handle of the submitted request
		Edits: []Edit{{"internal/controlplane/forwarder/promises.go", "return cell.hasLeader && cell.holder == planner && cell.epoch == epoch && (!cell.expired(c.now) || !topology.FencingEnabled)", "return cell != nil"},
			{"internal/controlplane/forwarder/requests.go", "\tdelete(c.submitted, request.handle)\n\tif request.handle != 0", "\tif request.handle != 0"},
			{"internal/controlplane/forwarder/actions.go", "\tcase request.inFlight > 0:", "\tcase request.inFlight > 9:"}},
		Runs: []string{simTwo + "storm", simTwo + "programs"}},
	{Name: "never two attempts out, whoever asks", Rule: "one attempt out", Unit: "./internal/controlplane/forwarder", // a request waits until its attempt has ended, and no second one is started
		Edits: []Edit{{"internal/controlplane/forwarder/actions.go", "\tcase request.inFlight > 0:", "\tcase request.inFlight > 9:"},
			{"internal/controlplane/forwarder/promises.go", "\t\tc.withdraw(request)\n\t\tif !request.completed && request.inFlight == 0 {", "\t\tc.withdraw(request)\n\t\tif !request.completed {"},
			{"internal/controlplane/forwarder/actions.go", "mayHaveRun := request.mayHaveRun || request.inFlight > 0\n", "mayHaveRun := request.mayHaveRun\n"}},
		Runs: []string{simTwo + "programs"}},
	{Name: "a successor runs no unsafe request again", Rule: "no effect twice", Unit: "./internal/controlplane/forwarder",
		Edits: edit("internal/controlplane/forwarder/actions.go", "case !request.mayHaveRun, class.Idempotency == policy.Idempotent:", "case !request.mayHaveRun, class.Idempotency != policy.KeyedIdempotent:"), Runs: []string{simTwo + "programs"}},
	{Name: "a forwarder refuses nothing that may have run", Rule: "no effect twice", Unit: "./internal/controlplane/forwarder",
		Edits: edit("internal/controlplane/forwarder/actions.go", "return policy.MayReject(c.cfg.Classes[request.class], mayHaveRun)", "return true || policy.MayReject(c.cfg.Classes[request.class], mayHaveRun)"), Runs: []string{simTwo + "programs"}},
	{Name: "a forwarder ends what nobody answers", Rule: "no request lost", Unit: "./internal/controlplane/forwarder",
		Edits: edit(forwarderFile, "\tc.expireOverdue()\n", ""), Runs: []string{simTwo + "programs", simTwo + "storm"}},
	{Name: "a promise runs out before another is given", Rule: "one leader", Unit: "./internal/controlplane/forwarder",
		Edits: edit("internal/controlplane/forwarder/promises.go", "case msg.Epoch > cell.epoch && (cell.expired(c.now) || ownClaim):", "case msg.Epoch > cell.epoch:"),
		Runs:  []string{simTwo + "programs"}},
	{Name: "a forwarder promises nothing right after its start", Rule: "one leader", Unit: "./internal/controlplane/forwarder",
		Edits: edit(forwarderFile, "\tc.resetPromises()\n\treturn c\n", "\tc.resetPromises()\n\tfor i := range c.cells {\n\t\tc.cells[i].until = now\n\t}\n\treturn c\n"), Runs: []string{"sim -shrink=false -schedules 100 -for 30s -planners 3 -scenario blinks"}},
	{Name: "at a forwarder a reset may have run", Rule: "no effect twice",
		Edits: edit("internal/controlplane/forwarder/requests.go", "if !status.NeverRan() && !r.mayHaveRun {", "if !status.NeverRan() && status != policy.Reset && !r.mayHaveRun {"),
		Runs:  []string{simTwo + "programs"}},
	{Name: "a forwarder knows how long keys are remembered", Rule: "no effect twice",
		Edits: edit("internal/controlplane/forwarder/actions.go", "return class.KeyScope == policy.ScopeAll && c.now < request.firstRunAt+class.KeyTTLS-keyTTLMarginS-class.LatencyObjectiveS", "return class.KeyScope == policy.ScopeAll"),
		Runs:  []string{simTwo + "keys"}},
	{Name: "a forwarder remembers what was passed on", Rule: "quotas kept", Unit: "./internal/controlplane/forwarder",
		Edits: edit("internal/controlplane/forwarder/actions.go", "\t\t\tc.usage.record(request.Account, windowUsage{plan: request.plan, epoch: msg.Epoch, seq: msg.Round, debt: msg.Units, receivedAt: c.now})\n", ""), Runs: []string{simTwo + "ceilings"}},
	{Name: "a forwarder tells of what it has out", Rule: "caps kept", Unit: "./internal/controlplane/forwarder",
		Reason: "the additional attempts stay within twice the concurrency limit, which the rule allows at a change of leaders; the unit test fails without the guard",
		Edits:  edit("internal/controlplane/forwarder/orphans.go", "\t\tc.orphans[request.Account] = orphanCount{request.plan, c.orphans[request.Account].attempts + request.inFlight}\n", "\t\tc.orphans[request.Account] = orphanCount{request.plan, 0}\n"),
		Runs:   []string{simTwo + "capped"}},
	{Name: "a forwarder that started tells so", Rule: "quotas kept", Unit: "./internal/controlplane/forwarder",
		Edits: edit("internal/controlplane/forwarder/usage.go", "incompleteAt: startedAt}", "incompleteAt: startedAt - 1e6}"),
		Runs:  []string{"sim -shrink=false -schedules 200 -for 20s -planners 3 -scenario blinks"}},
	// ---- Planners ----
	{Name: "a lead ends before the promises that it rests on", Rule: "one leader",
		Edits: edit("internal/controlplane/topology/params.go", "LeaderLeaseFraction = 0.95", "LeaderLeaseFraction = 1.6"), Runs: []string{simTwo + "programs"}},
	{Name: "a lead runs out", Rule: "one leader", Unit: "./internal/controlplane/planner",
		Edits: []Edit{{leasesFile, "return lease.role == leader && lease.epoch == epoch && (now < lease.expiresAt || !topology.FencingEnabled)", "return lease.role == leader && lease.epoch == epoch"},
			{leasesFile, "lease.role == leader && now >= lease.expiresAt && topology.FencingEnabled {", "lease.role == leader && now >= lease.expiresAt+1e9 && topology.FencingEnabled {"}},
		Runs: []string{simTwo + "programs"}},
	{Name: "a majority has to promise", Rule: "one leader", Unit: "./internal/controlplane/planner",
		Edits: edit("internal/controlplane/topology/cells.go", "return p.Forwarders/2 + 1", "return p.Forwarders / 2"), Runs: []string{simTwo + "programs", "sim -shrink=false -schedules 200 -for 30s -planners 3 -scenario programs"}},
	{Name: "a successor takes windows for empty until all have told", Rule: "quotas kept", Unit: "./internal/controlplane/planner",
		Edits: edit(windowsFile, "\t\tif t.missingReports > 0 {\n\t\t\twindow.available = min(", "\t\tif false {\n\t\t\twindow.available = min("), Runs: []string{simTwo + "ceilings"}},
	{Name: "a successor believes what was told of windows", Rule: "quotas kept", Unit: "./internal/controlplane/planner",
		Edits: edit(windowsFile, "return min(plan.Burst, plan.Burst-window.debt+plan.Rate*max(now-window.reportedAt, 0))", "return plan.Burst"), Runs: []string{simTwo + "ceilings"}},
	{Name: "of several tales the latest pass holds", Rule: "quotas kept", Unit: "./internal/controlplane/planner",
		Edits: edit(windowsFile, "!window.reported || epoch > window.epoch || epoch == window.epoch && seq > window.reportedSeq {", "!window.reported || epoch < window.epoch || epoch == window.epoch && seq < window.reportedSeq {"),
		Runs:  []string{simTwo + "ceilings"}},
	{Name: "passes are taken off a window", Rule: "quotas kept", Unit: "./internal/controlplane/planner",
		Edits: edit(windowsFile, "\twindow.available -= units\n\tt.admissions++", "\tt.admissions++"), Runs: []string{simTwo + "ceilings"}},
	{Name: "a planner believes in what a lost forwarder has out", Rule: "caps kept", Unit: "./internal/controlplane/planner",
		Reason: "the additional attempts stay within twice the concurrency limit, which the rule allows at a change of leaders; the unit test fails without the guard",
		Edits:  edit("internal/controlplane/planner/requests.go", "\t\tc.applyCounts(request.cellID, cell.windows.setOrphans(c.now, forwarder, request.account, request.plan, attempts))\n", ""), Runs: []string{simTwo + "lonely"}},
	{Name: "a planner tells its module of earlier passes", Rule: "quotas kept", Unit: "./internal/controlplane/planner",
		Edits: edit("internal/controlplane/planner/requests.go", "\tc.applyCounts(cellID, cell.windows.initialCounts(c.now, msg.Name, planIndex))\n", "\tcell.windows.initialCounts(c.now, msg.Name, planIndex)\n"), Runs: []string{simTwo + "ceilings"}},
	// ---- Membership from etcd ----
	{Name: "a stale source takes nothing back", Rule: "none on a stale word", Unit: "./internal/membership/merge",
		Edits: edit("internal/membership/merge/source.go", "if s.state != sourceCurrent && s.relaxes(n) {", "if false {"), Runs: []string{labEtcd}},
	{Name: "what was compacted away is read anew", Rule: "views equal the truth", Unit: "./internal/membership/etcdsource",
		Edits: edit("internal/membership/etcdsource/session.go", `		s.resyncReason = fmt.Sprintf("revision %d was compacted away", s.follower.header.Revision+1)
`, ""), Runs: []string{labEtcd + " -troubles cut-and-compacted"}},
	{Name: "an older state is told three times", Rule: "none on a stale word", Unit: "./internal/membership/etcdsource",
		Edits: edit("internal/membership/etcdsource/follower.go", "if f.regressions++; f.regressions < confirmReads || len(f.regressedMembers) < f.requiredMembers {", "if false {"), Runs: []string{labEtcd + " -troubles a-liar"}},
	{Name: "what a read does not list is gone", Rule: "views equal the truth", Unit: "./internal/membership/merge",
		Edits: edit("internal/membership/merge/merge.go", `		if !listed[id] {
			n.State = Removed`, `		if false {
			n.State = Removed`), Runs: []string{labEtcd}},
	{Name: "the last word of an answer holds", Rule: "none on a stale word", Unit: "./internal/membership/etcdsource",
		Edits: edit("internal/membership/etcdsource/follower.go", "\t\t\treports[i] = report\n", "\t\t\t_ = i\n"), Runs: []string{labEtcdLong + " -troubles cut"}},
	{Name: "an agent remembers what etcd told", Rule: "none on a stale word", Unit: "./internal/membership/agent",
		Edits: edit("internal/membership/agent/agent.go", `	a.merger.Restore(saved.Merged)
`, ""), Runs: []string{labEtcd}},
	// ---- Cordons and hot restarts by operators ----
	{Name: "discovery puts nothing back that is held", Rule: "nodes that operators hold left alone", Unit: "./internal/membership/cordontable",
		Edits: edit("internal/membership/cordontable/table.go", "\t\tif endpoint.State == discovery.InService {\n", "\t\tif false {\n"), Runs: []string{labOne + "operators"}},
	{Name: "a new process knows what is held", Rule: "nodes that operators hold left alone", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"admin.go", "in.cordonStore.ReadIfChanged(func(c cordontable.Cordons) { in.cordons.Replace(c) })", "in.cordonStore.ReadIfChanged(func(c cordontable.Cordons) {})"), Runs: []string{labOne + "operators -kinds replaced,held -every 200ms"}},
	{Name: "connections go to the new process", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Reason: "a client whose idle connection is closed uses another one; this costs a dial and, at times, a request that crosses the close and is sent again",
		Edits:  edit(ingressDir+"hot_restart_successor.go", "return in.successor.stage == handoverActive && c.state == connOpen &&", "return false && c.state == connOpen &&"), Runs: []string{labOne + "operators -kinds replaced"}},
	{Name: "what was read of a command goes with its connection", Rule: "no request lost", Unit: "./internal/dataplane/ingress",
		Reason: "the testbed's clients write a command in one piece, so an ingress has hardly ever read only a part of one at the handover; the unit test sends halves",
		Edits:  edit(ingressDir+"hot_restart_successor.go", "body: bytes.Clone(c.input.Bytes()), behind: behind}", "body: bytes.Clone(c.input.Bytes()[:0]), behind: behind}"), Runs: []string{labOne + "operators -kinds replaced -every 100ms"}},
	// ---- Hot restart of a forwarder ----
	{Name: "promises that were handed on are not taken back", Rule: "one leader", Unit: "./internal/controlplane/forwarder",
		Edits: edit(migrationFile, "\tc.resetPromises()\n", "\tfor i := range c.cells {\n\t\tc.cells[i].requester, c.cells[i].leaderlessSince = noPlanner, now\n\t}\n"), Runs: []string{simTwo + "handed-torn"}},
	{Name: "promises go over", Rule: "one leader", Unit: "./internal/controlplane/forwarder",
		Edits: edit(migrationFile, "cell.promise = promise{epoch: saved.Epoch, holder: saved.Holder, incarnation: saved.Incarnation, until: saved.PromisedUntil}", "cell.promise = promise{epoch: saved.Epoch, holder: noPlanner, incarnation: cell.incarnation, until: now}"), Runs: []string{simTwo + "upgrades"}},
	{Name: "tales go over", Rule: "quotas kept", Unit: "./internal/controlplane/forwarder",
		Edits: edit(migrationFile, "for _, report := range state.UsageReports {", "for _, report := range state.UsageReports[:0] {"), Runs: []string{simTwo + "handed"}},
	{Name: "a new process knows what may have run", Rule: "no effect twice", Unit: "./internal/controlplane/forwarder",
		Reason: "it matters only to a keyed request of which one attempt ran and the next, whose rejection is not yet seen, is in flight at the handover; the unit test has one",
		Edits:  edit(migrationFile, "mayHaveRun:   saved.MayHaveRun,", "mayHaveRun:   false,"), Runs: []string{simTwo + "handed-keys"}},
	{Name: "a new process knows what is out", Rule: "one attempt out", Unit: "./internal/controlplane/forwarder",
		Edits: edit(migrationFile, "\t\tif !ended {\n\t\t\trequest.inFlight++", "\t\tif false {\n\t\t\trequest.inFlight++"), Runs: []string{simTwo + "upgrades"}},
	{Name: "what a successor sent is written down", Rule: "one attempt out", Unit: "./internal/controlplane/forwarder",
		Edits: edit(migrationFile, "\t\tif !request.completed {\n\t\t\trequest.startAttempt(now)", "\t\tif false {\n\t\t\trequest.startAttempt(now)"), Runs: []string{simTwo + "handed-queue"}},
	{Name: "tales are not complete after taking back", Rule: "quotas kept", Unit: "./internal/controlplane/forwarder",
		Edits: edit(migrationFile, "\tc.usage.incompleteAt = now\n\tclear(c.planners)", "\tclear(c.planners)"), Runs: []string{simTwo + "handed"}},
	// ---- Misbehaving peers; the rule is the case's name ----
	{Name: "an answer that has begun is waited for", Rule: "slow-answers", Unit: "./internal/testbed/hostile",
		Edits: edit(ingressDir+"attempt.go", "a.answeringFrom == 0 && a.valueBegun() &&", "a.answeringFrom == 0 && false && a.valueBegun() &&"), Runs: []string{hostile + "slow-answers"}},
	{Name: "a value that is arriving is not cancelled", Rule: "slow-answers", Unit: "./internal/testbed/hostile",
		Edits: edit(ingressDir+"attempt.go", "a.state == attemptInFlight && !a.valueArriving() {", "a.state == attemptInFlight && a.firstByteAt == 0 {"), Runs: []string{hostile + "slow-answers"}},
	{Name: "clients at full speed are paced", Rule: "flood-one-account", Unit: "./internal/dataplane/ingress",
		Reason: "it bounds how long others wait: 222 ms instead of 4 ms at a forwarder, without a rule that is broken; the unit test measures the pace",
		Edits:  edit(ingressDir+"client_pacing.go", "if c.commandLimiter.Allow() {", "if c.commandLimiter.Allow() || true {"), Runs: []string{hostile + "flood-one-account -shape forwarder"}},
	{Name: "accounts are bounded", Rule: "flood-new-accounts-crowd", Unit: "./policy",
		Edits: edit(policyDir+"account.go", "if g.settings.MaxAccounts == 0 ||", "if true || g.settings.MaxAccounts == 0 ||"), Runs: []string{hostile + "flood-new-accounts-crowd -for 8s -shape program"}},
	{Name: "a request that may have run does not run again", Rule: "leave-and-return", Unit: "./internal/testbed/hostile",
		Edits: edit(ingressDir+"request.go", "case mustRunOnce(call.Spec) && in.ranRequests.has(call.ID, in.now):", "case false:"), Runs: []string{hostile + "leave-and-return"}},
	{Name: "a new process knows which requests may have run", Rule: "leave-and-return-upgrade", Unit: "./internal/testbed/hostile",
		Edits: edit(ingressDir+"hot_restart_predecessor.go", "\t\t\tp.addRanEvent(m.Body)\n", ""), Runs: []string{hostile + "leave-and-return-upgrade"}},
	{Name: "answers are delivered before their connection is closed", Rule: "crowd-pipelined-readers", Unit: "./internal/testbed/hostile",
		Edits: edit(ingressDir+"client_table.go", "if !candidate.delivered() ||", "if false ||"), Runs: []string{hostile + "crowd-pipelined-readers -for 6s"}},
	{Name: "unread answers go to the new process", Rule: "slow-reader-upgrade", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"answer_transfer.go", "\tcase !in.slotsTransferable(c.answerSlots):\n", "\tcase true:\n"), Runs: []string{hostile + "slow-reader-upgrade -runs 3"}},
	{Name: "a late copy counts from the end of its value", Rule: "late-copies", Unit: "./internal/dataplane/ingress",
		Edits: []Edit{{ingressDir + "reply_matcher.go", "{ m.values[len(m.values)-1].endedAt = at }", "{}"}, {ingressDir + "reply_matcher.go", "duplicateWindowS = 1.0", "duplicateWindowS = 0.1"}},
		Runs:  []string{hostile + "late-copies"}},
	{Name: "a copy with a newer load report is a copy", Rule: "late-copies", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"backend_reader.go", "hashValue(res.Value)", "hashValue(r.input.Bytes()[:size])"), Runs: []string{hostile + "late-copies"}},
	{Name: "unsafe commands shun a connection that has given no value", Rule: "late-copies", Unit: "./internal/dataplane/ingress",
		Edits: []Edit{{ingressDir + "reply_matcher.go", "|| m.noValueWithin(now, limits.noValueWindowS)", "|| m.noValueWithin(now, limits.noValueRestS)"},
			{ingressDir + "reply_matcher.go", "if res.Status != policy.OK && m.noValueWithin(m.commandAt, limits.noValueWindowS) {", "if false {"}},
		Runs: []string{hostile + "late-copies -runs 4"}},
	{Name: "bytes that were taken before a command are not its reply", Rule: "late-copies", Unit: "./internal/dataplane/ingress",
		Reason: "the loop has to run between two lines of the reader; the unit test forces that order",
		Edits:  edit(ingressDir+"reply_matcher.go", "{ m.awaitedBeforeRead = m.awaiting.Load() }", "{ m.awaitedBeforeRead = true }"), Runs: []string{hostile + "late-copies"}},
	{Name: "a socket is reached at a path of any length", Rule: "no request lost", Unit: "./internal/dataplane/hotrestart",
		Reason: "no run has a long folder; the unit tests and those of cmd/eiderspread do",
		Edits:  edit("internal/dataplane/hotrestart/socket_path.go", "if len(path) <= maxSocketAddress {", "if true {"), Runs: []string{hostile + "soak"}},
	{Name: "a mark in etcd belongs to the id", Rule: "no new work at a marked node", Unit: "./internal/membership/etcdsource",
		Reason: "nodes of the runs put themselves down in etcd at their start; the unit test draws the orders",
		Edits:  edit("internal/membership/merge/source.go", "if !s.marksIDs || n.Addr == \"\" ||", "if s.marksIDs = false; n.Addr == \"\" ||"), Runs: []string{labEtcd}},
	{Name: "a client that lags gets no new work at an end", Rule: "slow-reader-term", Unit: "./internal/dataplane/ingress",
		Edits: edit(ingressDir+"request.go", "if in.shutdown.expired || c.hasLagged {", "if in.shutdown.expired {"), Runs: []string{hostile + "slow-reader-term -runs 3"}},
	{Name: "a closed sending side waits for its client", Rule: "slow-reader-term", Unit: "./internal/dataplane/ingress",
		Reason: "connections of clients that lag stay open, so that few are closed before; the unit tests close one",
		Edits:  edit(ingressDir+"client_delivery.go", "\t\tif !c.delivered() {\n", "\t\tif false {\n"), Runs: []string{hostile + "slow-reader-term"}},
	{Name: "a command without memory is dropped and rejected", Rule: "crowd-large-requests", Unit: "./internal/testbed/hostile",
		Edits: edit(ingressDir+"client_reader.go", "if space == nil && !c.stopRequested() && !c.dropCommand(in) {\n", "if space == nil && !c.stopRequested() {\n\t\t\t\tc.rejectInput(in, in.clock.Now(), errInputBudget)\n"), Runs: []string{hostile + "crowd-large-requests -runs 4"}},
	{Name: "SIGHUP after SIGTERM has no effect", Rule: "soak", Unit: "./internal/testbed/hostile",
		Edits: edit("internal/controlplane/process/process.go", "\t\t\tif ctx.Err() == nil {\n", "\t\t\tif ctx.Err() != nil {\n\t\t\t\tos.Exit(1)\n\t\t\t} else {\n"), Runs: []string{hostile + "soak -shape forwarder -runs 2"}},
	// ---- Links ----
	{Name: "a silent link ends", Rule: "no request lost", Unit: "./internal/controlplane/transport",
		Reason: "without it the expiry of promises still keeps the rules; the guard bounds the duration of a takeover, which testbed lab -deaths and -failsafes measure",
		Edits:  edit("internal/controlplane/transport/conn.go", "NewConn(conn net.Conn, idleTimeout time.Duration) *Conn {\n", "NewConn(conn net.Conn, idleTimeout time.Duration) *Conn {\n\tidleTimeout = time.Hour\n"),
		Runs:   []string{labTwo + "programs"}},
}
