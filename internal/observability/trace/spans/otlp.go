package spans

// The types of OTLP's JSON encoding, with the field names of the specification.

type export struct {
	Resources []resourceSpans `json:"resourceSpans"`
}

type resourceSpans struct {
	Resource resource     `json:"resource"`
	Scopes   []scopeSpans `json:"scopeSpans"`
}

type resource struct {
	Attributes []attribute `json:"attributes"`
}

type scopeSpans struct {
	Scope scope  `json:"scope"`
	Spans []span `json:"spans"`
}

type scope struct {
	Name string `json:"name"`
}

// span is one OTLP span. Times are decimal strings of Unix nanoseconds, ids are hex strings.
type span struct {
	TraceID    string      `json:"traceId"`
	SpanID     string      `json:"spanId"`
	Parent     string      `json:"parentSpanId,omitempty"`
	Name       string      `json:"name"`
	Kind       spanKind    `json:"kind"`
	Start      string      `json:"startTimeUnixNano"`
	End        string      `json:"endTimeUnixNano"`
	Attributes []attribute `json:"attributes"`
	Events     []event     `json:"events,omitempty"`
	Status     spanStatus  `json:"status"`
}

type spanKind int

const (
	kindServer spanKind = 2
	kindClient spanKind = 3
)

type event struct {
	Time       string      `json:"timeUnixNano"`
	Name       string      `json:"name"`
	Attributes []attribute `json:"attributes,omitempty"`
}

type spanStatus struct {
	Code    statusCode `json:"code"`
	Message string     `json:"message,omitempty"`
}

type statusCode int

const (
	codeOK    statusCode = 1
	codeError statusCode = 2
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

// newResourceSpans wraps the spans of one gateway with its resource and scope.
func newResourceSpans(gateway string, spans []span) resourceSpans {
	return resourceSpans{
		Resource: resource{Attributes: []attribute{stringAttribute("service.name", "eiderspread"), stringAttribute("service.instance.id", gateway)}},
		Scopes:   []scopeSpans{{Scope: scope{Name: "eiderspread/policy"}, Spans: spans}},
	}
}
