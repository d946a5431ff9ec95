package oracle

import (
	"fmt"
	"time"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule, Detail string
	At           time.Duration
}

// Overshoot is how far an account exceeded rate and burst.
type Overshoot struct {
	Account, Plan string
	Units         float64 // beyond rate and burst, at the worst moment
	Percent       float64 // of the burst
	At            time.Duration
}

// Margin is a measured figure and the bound that applied at that moment, both in units.
type Margin struct{ Units, Allowed float64 }

// Report is the result of Check.
type Report struct {
	Violations                        []Violation        // the first maxViolations, by time
	ViolationCounts                   map[string]int     // by rule
	Occasions                         map[string]int     // by rule: how often the run could have violated it
	OccasionDetails                   map[string]int     // by rule and kind of occasion
	Utilization                       map[string]float64 // by bound: the highest fraction of it that was reached
	Void                              string             // why the run can't be checked; "": it can
	Requests                          int
	Results                           map[Result]int
	Attempts                          int
	Load                              *Load              // nil: not measured, or nothing was requested inside quotas
	Overshoots                        []Overshoot        // the worst first
	Service                           float64            // weight answered in time over weight requested, inside quotas
	ServiceBySecond                   []float64          // Service by second of sending, of accounts that stay inside their quotas; -1: no request
	ServiceByPlan                     map[string]float64 // -1: no request
	ServiceByClass                    map[string]float64 // in units, of accounts that stay inside their quotas; -1: no request
	Retries                           map[string]int     // by class and outcome of the attempt before
	IdealUnits                        float64            // that an exact count would have admitted, of accounts in Config.AccountGateways
	QuotaExcess                       map[int]Margin     // by window in seconds: the most that an account was admitted beyond rate and burst
	QuotaShortfall                    map[int]Margin     // by window in seconds: the most that an account was denied of its quota
	WithheldUnits                     float64            // of IdealUnits, not admitted
	OverQuotaCost                     OverQuotaCost
	Handshakes                        int            // connections opened to backends, where the testbed counts them
	SlotS, ExcessSlotS                float64        // seconds of open attempts within and beyond concurrency limits
	PeerMessageKinds                  map[string]int // messages between ingresses by kind, where the testbed counts them
	PeerMessages, DroppedPeerMessages int            // messages between ingresses, and those dropped beyond the receiver's rate limit
	Reasons                           map[int]int    // rejections by reason.Reason, where the testbed knows it
	minOccasions                      map[string]int
}

func newReport(minOccasions map[string]int) *Report {
	return &Report{
		ViolationCounts: map[string]int{}, Occasions: map[string]int{}, OccasionDetails: map[string]int{},
		Utilization: map[string]float64{}, Results: map[Result]int{}, ServiceByPlan: map[string]float64{},
		ServiceByClass: map[string]float64{}, Retries: map[string]int{}, minOccasions: minOccasions,
	}
}

// Verdict returns nil if the run shows that the rules hold: it is not void, has no violation and has enough occasions.
func (r *Report) Verdict() error {
	if r.Void != "" {
		return fmt.Errorf("void: %s", r.Void)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d breaches, the first of rule %q: %s", r.violationTotal(), r.Violations[0].Rule, r.Violations[0].Detail)
	}
	for _, rule := range RuleNames {
		if r.Occasions[rule] < r.minOccasions[rule] {
			return fmt.Errorf("rule %q was not seen often enough: %d occasions, %d required", rule, r.Occasions[rule], r.minOccasions[rule])
		}
	}
	return nil
}

func (r *Report) violationTotal() (n int) {
	for _, c := range r.ViolationCounts {
		n += c
	}
	return n
}

// occasion counts an event in which a rule could have been violated.
func (r *Report) occasion(rule, kind string) {
	r.Occasions[rule]++
	r.OccasionDetails[rule+": "+kind]++
}

// utilization records a fraction of a bound that was reached; the highest one counts.
func (r *Report) utilization(bound string, fraction float64) {
	r.Utilization[bound] = max(r.Utilization[bound], fraction)
}

// maxViolations is how many violations a report lists; it counts all.
const maxViolations = 50

// violation records a violation of a rule.
func (r *Report) violation(rule string, at time.Duration, format string, args ...any) {
	r.ViolationCounts[rule]++
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, Violation{rule, fmt.Sprintf(format, args...), at})
	}
}
