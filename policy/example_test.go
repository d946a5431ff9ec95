package policy_test

import (
	"fmt"

	"eiderspread/policy"
)

// ingress is a minimal implementation of policy.Actions that prints the decisions.
type ingress struct {
	name string
	out  [][]byte // peer messages that are not delivered yet
	sent []string
}

func (in *ingress) Send(id, backend string, timeoutS float64) {
	in.sent = append(in.sent, backend)
	fmt.Printf("%s: send %s to %s\n", in.name, id, backend)
}
func (in *ingress) Reject(id string, retryAfterS float64) { fmt.Printf("%s: reject %s\n", in.name, id) }
func (in *ingress) Fail(id string)                        { fmt.Printf("%s: fail %s\n", in.name, id) }
func (in *ingress) Cancel(id string, attempt int)         {}
func (in *ingress) SetTimer(token uint64, delayS float64) {}
func (in *ingress) Probe(backend string)                  {}
func (in *ingress) Log(text string)                       { fmt.Printf("%s: %s\n", in.name, text) }
func (in *ingress) SendPeerMessage(gateway int, data []byte) {
	in.out = append(in.out, data)
}

func settings(self, gateways int) policy.Settings {
	return policy.Settings{
		Self: self, Gateways: gateways, PeerMessages: gateways > 1, PeerMessageRate: 40, MaxAttempts: 3, MaxRetryAfterS: 1,
		Classes: []policy.Class{{Name: "read", LatencyObjectiveS: 1, DeadlineS: 2, PriorityWeight: 1, Idempotency: policy.Idempotent}},
		Plans:   []policy.Plan{{Name: "basic", Rate: 1, Burst: 3, Weight: 1, OverQuotaCostFraction: 1}},
	}
}

// A single gateway sends a request, rejects one beyond the quota, and handles an outcome.
func ExampleGateway() {
	in := &ingress{name: "gateway"}
	g, err := policy.New(settings(0, 1), 42, 10, in)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.UpdateBackends(10, []policy.Backend{{ID: "10.0.0.1:80"}}, true)
	for i := range 2 {
		g.HandleRequest(10, policy.Request{ID: fmt.Sprint("r", i), Class: "read", Plan: "basic", Account: "ada",
			DeadlineAt: 12, GatewayCount: 1, Units: 2})
	}
	g.HandleOutcome(10.1, policy.Outcome{ID: "r0", Backend: "10.0.0.1:80", Status: policy.OK, Completed: true, LatencyS: 0.1})
	// Output:
	// gateway: send r0 to 10.0.0.1:80
	// gateway: reject r1
}

// Two gateways share the quota of an account: units that one of them admits also count at the other.
func ExampleGateway_owners() {
	ingresses := [2]*ingress{{name: "west"}, {name: "east"}}
	var gateways [2]*policy.Gateway
	now := 10.0
	for i := range gateways {
		gateways[i], _ = policy.New(settings(i, 2), uint64(i), now, ingresses[i])
		gateways[i].UpdateBackends(now, []policy.Backend{{ID: "10.0.0.1:80"}}, true)
	}
	submit := func(gateway int, id string) {
		gateways[gateway].HandleRequest(now, policy.Request{ID: id, Class: "read", Plan: "basic", Account: "ada",
			DeadlineAt: now + 2, GatewayCount: 2, Units: 2})
	}
	submit(0, "first")
	for range 30 { // 0.6 s of timer ticks, with several batches of reports in each direction
		now += 0.02
		for i, g := range gateways {
			g.HandleTimer(now, 1)
			for _, data := range ingresses[1-i].out {
				g.HandlePeerMessage(now, 1-i, data)
			}
			ingresses[1-i].out = nil
		}
	}
	submit(1, "second")
	// Output:
	// west: send first to 10.0.0.1:80
	// east: reject second
}

// New returns an error for invalid settings.
func ExampleNew() {
	settings := settings(0, 1)
	settings.Plans[0].Burst = 0
	_, err := policy.New(settings, 1, 0, &ingress{})
	fmt.Println(err)
	// Output: plan "basic": rates must not be below 0, and a rate needs a burst
}
