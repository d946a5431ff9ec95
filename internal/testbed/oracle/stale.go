package oracle

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// EtcdSource and DiscoverySource name the sources of membership; a roster tells each party at its own time, so that its source is
// named with the party.
const EtcdSource = "etcd"

// DiscoverySource is the roster as one party hears it.
func DiscoverySource(party string) string { return discoveryPrefix + party }

const discoveryPrefix = "roster "

// propagationSlack is for the way of a word from its source to a party, and for what the laboratory notes a moment late.
const propagationSlack = 100 * time.Millisecond

// checkMembership looks for nodes that were told as up although no source held that, by what the party could have heard of it: a word
// counts for MembershipTTLS, and for as long as the party can hear nothing newer. Sources join by the strictest word: up if one says
// so and none says otherwise.
func (r *Report) checkMembership(h *History, cfg Config) {
	for _, v := range h.ViewChecks {
		r.occasion(RuleViewsAgree, "views compared")
		if v.Mismatch != "" {
			r.violation(RuleViewsAgree, v.At, "after %s: %s", v.Fault, v.Mismatch)
		}
	}
	if cfg.MembershipTTLS <= 0 {
		return
	}
	held := map[string]map[string][]Notice{} // by source and node, in order of time
	truths := slices.Clone(h.SourceStates)
	for _, t := range h.Notices {
		if strings.HasPrefix(t.Party, discoveryPrefix) {
			truths = append(truths, t)
		}
	}
	for _, t := range truths {
		if held[t.Party] == nil {
			held[t.Party] = map[string][]Notice{}
		}
		held[t.Party][t.Node] = append(held[t.Party][t.Node], t)
	}
	blind := map[string][]SourceOutage{}
	for _, b := range h.SourceOutages {
		blind[b.Party+"/"+b.Source] = append(blind[b.Party+"/"+b.Source], b)
	}
	// words are the states that a source held of one start of a node between two moments, the one before the first included. A
	// word on another start says nothing of it.
	words := func(list []Notice, start int64, from, to time.Duration) (states []string) {
		say := func(t Notice) {
			if t.StartMS != 0 && start != 0 && t.StartMS != start {
				t.State = ""
			}
			states = append(states, t.State)
		}
		i := sort.Search(len(list), func(i int) bool { return list[i].At > from })
		if i == 0 {
			states = append(states, "")
		} else {
			say(list[i-1])
		}
		for ; i < len(list) && list[i].At <= to; i++ {
			say(list[i])
		}
		return states
	}
	// fresh are the states that a party may take from a source at a moment.
	fresh := func(party, source, node string, start int64, at time.Duration) (states []string) {
		list, from := held[source][node], at-duration(cfg.MembershipTTLS)
		to := at + propagationSlack
		for _, b := range blind[party+"/"+source] { // in order of time
			if b.From > at || b.To != 0 && b.To < from {
				continue
			}
			// What was held at the break stays the party's last word until it hears again.
			states = append(states, words(list, start, b.From-propagationSlack, b.From+propagationSlack)...)
			if b.To == 0 || b.To > at {
				return append(states, words(list, start, min(from, b.From), b.From)...)
			}
			from = max(from, b.To)
		}
		return append(states, words(list, start, from, to)...)
	}
	type key struct{ party, node string }
	last := map[key]string{}
	for _, t := range h.Notices {
		k := key{t.Party, t.Node}
		was, known := last[k]
		last[k] = t.State
		if t.State != "in_service" || was == t.State || held[DiscoverySource(t.Party)] == nil {
			continue
		}
		if known {
			r.occasion(RuleFreshMembership, "a node came back")
		} else {
			r.occasion(RuleFreshMembership, "a node came in")
		}
		etcd, roster := fresh(t.Party, EtcdSource, t.Node, t.StartMS, t.At), fresh(t.Party, DiscoverySource(t.Party), t.Node, t.StartMS, t.At)
		ok := slices.ContainsFunc(etcd, func(e string) bool {
			return slices.ContainsFunc(roster, func(r string) bool { return inServiceByBoth(e, r) })
		})
		if !ok {
			r.violation(RuleFreshMembership, t.At, "%s was told that %s is up; etcd held %q, its roster %q", t.Party, t.Node, etcd, roster)
		}
	}
}

// inServiceByBoth tells whether a node is up by two sources' words; "" stands for none.
func inServiceByBoth(a, b string) bool {
	up := func(s string) bool { return s == "in_service" }
	return (up(a) || up(b)) && (up(a) || a == "") && (up(b) || b == "")
}
