// Package spans writes the requests of a run as OpenTelemetry spans: one span per request, with a child span per attempt. The
// output is one object in OTLP's JSON encoding (https://opentelemetry.io/docs/specs/otlp/#json-protobuf-encoding).
package spans

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"

	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace/analyse"
	"eiderspread/policy"
)

// statusNames are the messages of span statuses, by the status with which an attempt ended.
var statusNames = map[policy.Status]string{
	policy.OK:            "ok",
	policy.Error:         "error",
	policy.Rejected:      "full",
	policy.Timeout:       "timeout",
	policy.ConnectFailed: "connect-failed",
	policy.Reset:         "reset",
	policy.Cancelled:     "cancelled",
	policy.NotSent:       "moot",
}

// requestKey identifies a request at one gateway.
type requestKey struct{ gateway, id string }

// Write writes the requests of the records that filter accepts as spans. With rejectedOnly it leaves out requests that were not
// rejected or failed. The span of a request whose end is not among the records ends at its last record.
func Write(w io.Writer, run *analyse.Run, filter func(analyse.Record) bool, rejectedOnly bool) error {
	records, order := map[requestKey][]analyse.Record{}, []requestKey{}
	for _, r := range run.Records {
		if r.ID == "" || !filter(r) {
			continue
		}
		key := requestKey{r.GatewayName, r.ID}
		if records[key] == nil {
			order = append(order, key)
		}
		records[key] = append(records[key], r)
	}
	spans, gateways := map[string][]span{}, []string{}
	for _, key := range order {
		list, rejected := spansOf(key, records[key])
		if rejectedOnly && !rejected {
			continue
		}
		if spans[key.gateway] == nil {
			gateways = append(gateways, key.gateway)
		}
		spans[key.gateway] = append(spans[key.gateway], list...)
	}
	out := export{Resources: []resourceSpans{}}
	for _, gateway := range gateways {
		out.Resources = append(out.Resources, newResourceSpans(gateway, spans[gateway]))
	}
	return json.NewEncoder(w).Encode(out)
}

// spansOf returns the spans of one request and whether the request was rejected or failed. records are its records in order of
// time. The first span is the request's, the others are those of its attempts.
func spansOf(key requestKey, records []analyse.Record) (list []span, rejected bool) {
	b := newBuilder(key, records)
	for _, r := range records {
		switch r.Step {
		case reason.StepSent:
			b.startAttempt(r)
		case reason.StepEnded:
			b.endAttempt(r)
		default:
			b.addEvent(r)
		}
	}
	return b.spans, b.rejected
}

// builder makes the spans of one request.
type builder struct {
	key      requestKey
	end      string      // time of the last record, in the form of unixNano
	spans    []span      // the request's span first, then those of its attempts
	attempts map[int]int // attempt number -> index in spans
	rejected bool
}

func newBuilder(key requestKey, records []analyse.Record) *builder {
	first, last := records[0], records[len(records)-1]
	traceID, spanID := spanIDs(key, "")
	root := span{TraceID: traceID, SpanID: spanID, Name: first.Class, Kind: kindServer, Start: unixNano(first.At), End: unixNano(last.At),
		Attributes: []attribute{stringAttribute("plan", first.Plan), stringAttribute("account", fmt.Sprintf("%08x", first.Account)),
			doubleAttribute("units", first.Units)}}
	return &builder{key: key, end: unixNano(last.At), spans: []span{root}, attempts: map[int]int{}}
}

func (b *builder) startAttempt(r analyse.Record) {
	_, spanID := spanIDs(b.key, strconv.Itoa(r.Attempt))
	b.attempts[r.Attempt] = len(b.spans)
	b.spans = append(b.spans, span{TraceID: b.spans[0].TraceID, SpanID: spanID, Parent: b.spans[0].SpanID, Name: "attempt", Kind: kindClient,
		Start: unixNano(r.At), End: b.end,
		Attributes: []attribute{stringAttribute("server.id", r.Backend), doubleAttribute("attempt", float64(r.Attempt))}})
}

// endAttempt ends the attempt's span. If the attempt's status is OK, it also ends the request's span.
func (b *builder) endAttempt(r analyse.Record) {
	i, ok := b.attempts[r.Attempt]
	if !ok { // the start of the attempt is not among the records
		return
	}
	b.spans[i].End = unixNano(r.At)
	if s := policy.Status(r.Status); s != policy.OK {
		b.spans[i].Status = spanStatus{Code: codeError, Message: statusNames[s]}
		return
	}
	b.spans[i].Status = spanStatus{Code: codeOK}
	b.spans[0].Status, b.spans[0].End = spanStatus{Code: codeOK}, unixNano(r.At)
}

// addEvent adds a decision to the request's span as an event. A rejection or failure also ends the span.
func (b *builder) addEvent(r analyse.Record) {
	root := &b.spans[0]
	root.Events = append(root.Events, event{unixNano(r.At), r.Step.String(), []attribute{stringAttribute("reason", r.Reason.String()),
		doubleAttribute("room", float64(r.WindowAvailable)), doubleAttribute("free", r.WindowFree), doubleAttribute("word.age_s", float64(r.ReplyAgeS))}})
	if analyse.RejectedOrFailed(r) {
		b.rejected = true
		root.Status, root.End = spanStatus{Code: codeError, Message: r.Step.String() + ": " + r.Reason.String()}, unixNano(r.At)
	}
}

// spanIDs returns the trace id and the span id of a request or an attempt, in hex. attempt is the attempt's number; it is empty
// for the span of the request. The trace id depends only on the request's id, so that the spans of all gateways for the same
// request belong to one trace.
func spanIDs(key requestKey, attempt string) (traceID, spanID string) {
	t := sha256.Sum256([]byte(key.id))
	s := sha256.Sum256([]byte(key.gateway + "\x00" + key.id + "\x00" + attempt))
	return hex.EncodeToString(t[:16]), hex.EncodeToString(s[:8])
}

// unixNano converts a time in Unix seconds to a decimal string of Unix nanoseconds, as OTLP encodes times.
func unixNano(at float64) string {
	seconds, fraction := math.Modf(at)
	return strconv.FormatInt(int64(seconds)*1e9+int64(fraction*1e9), 10)
}
