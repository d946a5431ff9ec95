package oracle

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// EtcdSource names etcd as a source of membership.
const EtcdSource = "etcd"

const discoveryPrefix = "roster "

// DiscoverySource names discovery as the source of membership of one observer. Each observer has a discovery source of its own,
// as discovery notifies observers at different times.
func DiscoverySource(observer string) string { return discoveryPrefix + observer }

// The states of nodes that the checker distinguishes. An empty state means that a source holds no state of the node.
const (
	stateInService  = "in_service"
	stateTerminated = "terminated"
)

// propagationSlack allows for the delay of a change between its source and an observer, and for its late recording by the testbed.
const propagationSlack = 100 * time.Millisecond

// sourceStates are the states of nodes that the sources of membership held over time.
type sourceStates struct {
	states  map[string]map[string][]Notice // by source and node, in order of time
	outages map[[2]string][]SourceOutage   // by observer and source, in order of time
	ttl     time.Duration                  // how long a state counts as fresh
}

func newSourceStates(h *History, ttl time.Duration) *sourceStates {
	s := &sourceStates{states: map[string]map[string][]Notice{}, outages: map[[2]string][]SourceOutage{}, ttl: ttl}
	for _, notice := range h.SourceStates {
		s.add(notice)
	}
	for _, notice := range h.Notices {
		if strings.HasPrefix(notice.Observer, discoveryPrefix) {
			s.add(notice)
		}
	}
	for _, o := range h.SourceOutages {
		k := [2]string{o.Observer, o.Source}
		s.outages[k] = append(s.outages[k], o)
	}
	return s
}

// add adds a state that the source notice.Observer holds.
func (s *sourceStates) add(notice Notice) {
	if s.states[notice.Observer] == nil {
		s.states[notice.Observer] = map[string][]Notice{}
	}
	s.states[notice.Observer][notice.Node] = append(s.states[notice.Observer][notice.Node], notice)
}

// between returns the states of one incarnation of a node that a source held between the times from and to, beginning with
// the state held at from. A state of another incarnation is returned as "".
func between(notices []Notice, startMS int64, from, to time.Duration) (states []string) {
	stateOf := func(notice Notice) string {
		if notice.StartMS != 0 && startMS != 0 && notice.StartMS != startMS {
			return ""
		}
		return notice.State
	}
	i := sort.Search(len(notices), func(i int) bool { return notices[i].At > from })
	if i == 0 {
		states = append(states, "")
	} else {
		states = append(states, stateOf(notices[i-1]))
	}
	for ; i < len(notices) && notices[i].At <= to; i++ {
		states = append(states, stateOf(notices[i]))
	}
	return states
}

// possible returns the states of a node that an observer may hold from a source at the time of a notice: those of the last ttl,
// and while the source is out of reach, those up to the start of the outage.
func (s *sourceStates) possible(source string, notice Notice) (states []string) {
	list, at, startMS := s.states[source][notice.Node], notice.At, notice.StartMS
	from, to := at-s.ttl, at+propagationSlack
	for _, o := range s.outages[[2]string{notice.Observer, source}] {
		if o.From > at || o.To != 0 && o.To < from {
			continue
		}
		// The observer keeps the state at the start of the outage until it reaches the source again.
		states = append(states, between(list, startMS, o.From-propagationSlack, o.From+propagationSlack)...)
		if o.To == 0 || o.To > at {
			return append(states, between(list, startMS, min(from, o.From), o.From)...)
		}
		from = max(from, o.To)
	}
	return append(states, between(list, startMS, from, to)...)
}

// checkMembership reports views that did not converge, and nodes that an observer was notified of as in service although no
// states that its sources held can explain that.
func (r *Report) checkMembership(h *History, cfg Config) {
	for _, v := range h.ViewChecks {
		r.occasion(RuleViewsAgree, "views compared")
		if v.Mismatch != "" {
			r.violation(RuleViewsAgree, v.At, "views differ after %s: %s", v.Fault, v.Mismatch)
		}
	}
	if cfg.MembershipTTLS <= 0 {
		return
	}
	sources := newSourceStates(h, duration(cfg.MembershipTTLS))
	last := map[link]string{}
	for _, notice := range h.Notices {
		k := link{notice.Observer, notice.Node}
		before, known := last[k]
		last[k] = notice.State
		discovery := DiscoverySource(notice.Observer)
		if notice.State != stateInService || before == notice.State || sources.states[discovery] == nil {
			continue
		}
		if known {
			r.occasion(RuleFreshMembership, "known node back in service")
		} else {
			r.occasion(RuleFreshMembership, "new node in service")
		}
		byEtcd, byDiscovery := sources.possible(EtcdSource, notice), sources.possible(discovery, notice)
		explained := slices.ContainsFunc(byEtcd, func(a string) bool {
			return slices.ContainsFunc(byDiscovery, func(b string) bool { return mergedInService(a, b) })
		})
		if !explained {
			r.violation(RuleFreshMembership, notice.At, "%s was notified that %s is in service; etcd held %q, discovery %q", notice.Observer, notice.Node, byEtcd, byDiscovery)
		}
	}
}

// mergedInService reports whether a node is in service by the states of two sources: at least one has it in service, and the
// other one, if it has a state, agrees.
func mergedInService(a, b string) bool {
	up := func(state string) bool { return state == stateInService }
	return (up(a) || up(b)) && (up(a) || a == "") && (up(b) || b == "")
}
