package spans

import (
	"bytes"
	"encoding/json"
	"testing"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace"
	"eiderspread/internal/observability/trace/analyse"
	"eiderspread/policy"
)

// A request with two attempts and one that is refused: field names as OTLP's JSON form has them, ids of its lengths, attempts below
// their request, statuses by what came of it.
func TestWrite_SpansOfRequests(t *testing.T) {
	send := func(at float64, n int) reason.Decision {
		return reason.Decision{At: at, Step: reason.StepSent, ID: "a", Attempt: n, Backend: "z1", Class: "look"}
	}
	back := func(at float64, n int, s policy.Status) reason.Decision {
		return reason.Decision{At: at, Step: reason.StepEnded, ID: "a", Attempt: n, Status: int(s), Class: "look"}
	}
	run := analyse.Join([]*trace.File{{Header: trace.Header{Name: "n0"}, Decisions: []reason.Decision{
		{At: 10, Step: reason.StepArrived, Reason: reason.OwnerCount, ID: "a", Class: "look", Plan: "p"}, send(10.25, 0), back(10.5, 0, policy.Reset), send(10.5, 1), back(11, 1, policy.OK),
		{At: 12, Step: reason.StepArrived, ID: "b", Class: "look", Plan: "p"}, {At: 12, Step: reason.StepRejected, Reason: reason.ConcurrencyLimit, ID: "b", Class: "look"}}}})
	for _, refused := range []bool{false, true} {
		var b bytes.Buffer
		if err := Write(&b, run, func(analyse.Record) bool { return true }, refused); err != nil {
			t.Fatal(err)
		}
		var got struct {
			ResourceSpans []struct {
				ScopeSpans []struct {
					Spans []struct {
						TraceID, SpanID, ParentSpanID, Name, StartTimeUnixNano, EndTimeUnixNano string
						Status                                                                  struct {
							Code    int
							Message string
						}
					}
				}
			}
		}
		if err := json.Unmarshal(b.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		spans := got.ResourceSpans[0].ScopeSpans[0].Spans
		if refused {
			if len(spans) != 1 || spans[0].Status.Code != 2 || spans[0].Status.Message != "refuse: cap" {
				t.Errorf("%+v", spans)
			}
			continue
		}
		if len(spans) != 4 {
			t.Fatalf("%d spans", len(spans))
		}
		root := spans[0]
		if len(root.TraceID) != 32 || len(root.SpanID) != 16 || root.StartTimeUnixNano != "10000000000" || root.EndTimeUnixNano != "11000000000" || root.Status.Code != 1 {
			t.Errorf("%+v", root)
		}
		for i, code := range []int{2, 1} {
			if s := spans[1+i]; s.ParentSpanID != root.SpanID || s.TraceID != root.TraceID || s.Status.Code != code {
				t.Errorf("attempt %d: %+v", i, s)
			}
		}
	}
}
