// Package spans writes a run's requests as OpenTelemetry spans: one a request, with one below it for each attempt, in the JSON form
// of OTLP (https://opentelemetry.io/docs/specs/otlp/#json-protobuf-encoding), one object a file.
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

type attribute struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
}

func stringAttribute(key, value string) attribute {
	return attribute{key, map[string]string{"stringValue": value}}
}

func doubleAttribute(key string, value float64) attribute {
	return attribute{key, map[string]float64{"doubleValue": value}}
}

// span has the field names of the specification. Times are decimal strings of nanoseconds, ids are hex.
type span struct {
	TraceID    string      `json:"traceId"`
	SpanID     string      `json:"spanId"`
	Parent     string      `json:"parentSpanId,omitempty"`
	Name       string      `json:"name"`
	Kind       int         `json:"kind"` // 2 server, 3 client
	Start      string      `json:"startTimeUnixNano"`
	End        string      `json:"endTimeUnixNano"`
	Attributes []attribute `json:"attributes"`
	Events     []event     `json:"events,omitempty"`
	Status     spanStatus  `json:"status"`
}

type event struct {
	Time       string      `json:"timeUnixNano"`
	Name       string      `json:"name"`
	Attributes []attribute `json:"attributes,omitempty"`
}

type spanStatus struct {
	Code    int    `json:"code"` // 1 ok, 2 error
	Message string `json:"message,omitempty"`
}

func unixNano(at float64) string {
	s, f := math.Modf(at)
	return strconv.FormatInt(int64(s)*1e9+int64(f*1e9), 10)
}

// ids are of a request at one gateway: the same request always gets the same ones.
func ids(gateway, id, part string) (traceID, spanID string) {
	t := sha256.Sum256([]byte(id))
	s := sha256.Sum256([]byte(gateway + "\x00" + id + "\x00" + part))
	return hex.EncodeToString(t[:16]), hex.EncodeToString(s[:8])
}

type requestKey struct{ gateway, id string }

// Write writes the requests that are wanted, or of them those that were refused or failed. A request whose end is not traced ends with
// its last record.
func Write(w io.Writer, run *analyse.Run, want func(analyse.Record) bool, refused bool) error {
	stories, order := map[requestKey][]analyse.Record{}, []requestKey{}
	for _, r := range run.Records {
		if r.ID == "" || !want(r) {
			continue
		}
		k := requestKey{r.Name, r.ID}
		if stories[k] == nil {
			order = append(order, k)
		}
		stories[k] = append(stories[k], r)
	}
	byGateway, names := map[string][]span{}, []string{}
	for _, k := range order {
		list, bad := spansOf(k, stories[k])
		if refused && !bad {
			continue
		}
		if byGateway[k.gateway] == nil {
			names = append(names, k.gateway)
		}
		byGateway[k.gateway] = append(byGateway[k.gateway], list...)
	}
	type scope struct {
		Scope map[string]string `json:"scope"`
		Spans []span            `json:"spans"`
	}
	type resource struct {
		Resource map[string][]attribute `json:"resource"`
		Scopes   []scope                `json:"scopeSpans"`
	}
	out := struct {
		Resources []resource `json:"resourceSpans"`
	}{[]resource{}}
	for _, n := range names {
		out.Resources = append(out.Resources, resource{map[string][]attribute{"attributes": {stringAttribute("service.name", "eiderspread"), stringAttribute("service.instance.id", n)}},
			[]scope{{map[string]string{"name": "eiderspread/policy"}, byGateway[n]}}})
	}
	return json.NewEncoder(w).Encode(out)
}

var statuses = map[int]string{int(policy.OK): "ok", int(policy.Error): "error", int(policy.Rejected): "full", int(policy.Timeout): "timeout",
	int(policy.ConnectFailed): "connect-failed", int(policy.Reset): "reset", int(policy.Cancelled): "cancelled", int(policy.NotSent): "moot"}

// spansOf makes the spans of one request from its records, which come by time.
func spansOf(k requestKey, story []analyse.Record) (list []span, bad bool) {
	first, last := story[0], story[len(story)-1]
	root := span{Name: first.Class, Kind: 2, Start: unixNano(first.At), End: unixNano(last.At),
		Attributes: []attribute{stringAttribute("plan", first.Plan), stringAttribute("account", fmt.Sprintf("%08x", first.Account)), doubleAttribute("units", first.Units)}}
	root.TraceID, root.SpanID = ids(k.gateway, k.id, "")
	open := map[int]int{} // attempt to its place in list
	list = []span{root}
	for _, r := range story {
		switch r.Step {
		case reason.StepSent:
			s := span{TraceID: root.TraceID, Parent: root.SpanID, Name: "attempt", Kind: 3, Start: unixNano(r.At), End: unixNano(last.At),
				Attributes: []attribute{stringAttribute("server.id", r.Backend), doubleAttribute("attempt", float64(r.Attempt))}}
			_, s.SpanID = ids(k.gateway, k.id, strconv.Itoa(r.Attempt))
			open[r.Attempt] = len(list)
			list = append(list, s)
		case reason.StepEnded:
			i, ok := open[r.Attempt]
			if !ok {
				continue
			}
			list[i].End = unixNano(r.At)
			list[i].Status = spanStatus{Code: 1}
			if r.Status != int(policy.OK) {
				list[i].Status = spanStatus{Code: 2, Message: statuses[r.Status]}
			} else {
				list[0].Status, list[0].End = spanStatus{Code: 1}, unixNano(r.At)
			}
		default:
			list[0].Events = append(list[0].Events, event{unixNano(r.At), r.Step.String(), []attribute{stringAttribute("reason", r.Reason.String()), doubleAttribute("room", float64(r.WindowAvailable)),
				doubleAttribute("free", r.WindowFree), doubleAttribute("word.age_s", float64(r.ReplyAgeS))}})
			if analyse.Rejected(r) {
				bad = true
				list[0].Status, list[0].End = spanStatus{Code: 2, Message: r.Step.String() + ": " + r.Reason.String()}, unixNano(r.At)
			}
		}
	}
	return list, bad
}
