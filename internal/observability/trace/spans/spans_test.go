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

// writtenSpan is a span as a reader decodes it, with the field names of OTLP's JSON encoding.
type writtenSpan struct {
	TraceID, SpanID, ParentSpanID, Name, StartTimeUnixNano, EndTimeUnixNano string
	Status                                                                  struct {
		Code    int
		Message string
	}
}

// writeSpans returns the spans that Write writes for the only gateway of run.
func writeSpans(t *testing.T, run *analyse.Run, rejectedOnly bool) []writtenSpan {
	t.Helper()
	var b bytes.Buffer
	if err := Write(&b, run, func(analyse.Record) bool { return true }, rejectedOnly); err != nil {
		t.Fatal(err)
	}
	var got struct {
		ResourceSpans []struct {
			ScopeSpans []struct{ Spans []writtenSpan }
		}
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	return got.ResourceSpans[0].ScopeSpans[0].Spans
}

// Writes a request with two attempts and a rejected request. Ids must have OTLP's lengths, an attempt's parent must be its
// request's span, and the status must tell how the attempt or request ended.
func TestWrite_SpansOfRequests(t *testing.T) {
	started := func(at float64, attempt int) reason.Decision {
		return reason.Decision{At: at, Step: reason.StepSent, ID: "a", Attempt: attempt, Backend: "z1", Class: "look"}
	}
	ended := func(at float64, attempt int, status policy.Status) reason.Decision {
		return reason.Decision{At: at, Step: reason.StepEnded, ID: "a", Attempt: attempt, Status: int(status), Class: "look"}
	}
	run := analyse.Join([]*trace.File{{Header: trace.Header{Name: "n0"}, Decisions: []reason.Decision{
		{At: 10, Step: reason.StepArrived, Reason: reason.OwnerCount, ID: "a", Class: "look", Plan: "p"},
		started(10.25, 0), ended(10.5, 0, policy.Reset),
		started(10.5, 1), ended(11, 1, policy.OK),
		{At: 12, Step: reason.StepArrived, ID: "b", Class: "look", Plan: "p"},
		{At: 12, Step: reason.StepRejected, Reason: reason.ConcurrencyLimit, ID: "b", Class: "look"},
	}}})

	spans := writeSpans(t, run, false)
	if len(spans) != 4 {
		t.Fatalf("got %d spans, want 4: request a, its two attempts, request b", len(spans))
	}
	root := spans[0]
	if len(root.TraceID) != 32 || len(root.SpanID) != 16 || root.StartTimeUnixNano != "10000000000" || root.EndTimeUnixNano != "11000000000" || root.Status.Code != 1 {
		t.Errorf("span of request a: got %+v; want ids of 32 and 16 digits, 10 s to 11 s, status 1 (OK)", root)
	}
	for i, code := range []int{2, 1} {
		if s := spans[1+i]; s.ParentSpanID != root.SpanID || s.TraceID != root.TraceID || s.Status.Code != code {
			t.Errorf("span of attempt %d: got %+v; want status %d, the trace and parent of request a", i, s, code)
		}
	}

	spans = writeSpans(t, run, true)
	if len(spans) != 1 || spans[0].Status.Code != 2 || spans[0].Status.Message != "refuse: cap" {
		t.Errorf("rejected requests: got %+v; want one span with status 2 (error) and message \"refuse: cap\"", spans)
	}
}
