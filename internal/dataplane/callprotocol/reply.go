package callprotocol

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/settings"
	"eiderspread/policy"
)

// Result is how an attempt or a health check ended.
type Result struct {
	Status policy.Status
	Value  []byte       // with OK: in RESP, as the backend wrote it; nil for a health check
	Load   *policy.Load // nil: none was reported
	Probe  bool         // the reply to a health check
	Err    error        // why the reply could not be used; nil: it could
}

// Malformed is the result of a reply that can't be used: its request may have run, and all that is known of the backend is that it is up and
// at work.
func Malformed(cause error) Result { return Result{Status: policy.Error, Err: cause} }

// ParseReply reads one whole reply. A value stands whatever the load report behind it looks like.
func ParseReply(b []byte) Result {
	_, v := redcon.ReadNextRESP(b)
	switch v.Type {
	case redcon.Array:
		return parseValueReply(v)
	case redcon.Bulk: // of a health check
		if v.Data != nil {
			return Result{Status: policy.OK, Probe: true, Load: ParseLoad(string(v.Data))}
		}
	case redcon.Error:
		return parseErrorReply(string(v.Data))
	}
	return Malformed(ErrNotReply)
}

// parseValueReply reads a value, figures on its use, which are the client's, and a load report.
func parseValueReply(v redcon.RESP) Result {
	var elements []redcon.RESP
	v.ForEach(func(e redcon.RESP) bool {
		elements = append(elements, e)
		return true
	})
	if len(elements) == 0 || elements[0].Type != redcon.Bulk || elements[0].Data == nil {
		return Malformed(ErrNoValue)
	}
	res := Result{Status: policy.OK, Value: bytes.Clone(elements[0].Raw)}
	if len(elements) > 2 && elements[2].Data != nil {
		res.Load = ParseLoad(string(elements[2].Data))
	}
	return res
}

// parseErrorReply reads BUSY, which promises that the request did not run, or any other error. What stands behind the last space may be a load report.
func parseErrorReply(text string) Result {
	res := Result{Status: policy.Error}
	if code, _, _ := strings.Cut(text, " "); code == "BUSY" {
		res.Status = policy.Rejected
	}
	res.Load = ParseLoad(text[strings.LastIndexByte(text, ' ')+1:])
	return res
}

// Bounds on what a load report is believed. Utilization is measured, and may come a little above 1.
const (
	maxLoadFigure  = 1e6
	maxUtilization = 4
)

// ParseLoad reads a load report; nil if it has no figure or one out of range, as the rest is no better then.
func ParseLoad(text string) *policy.Load {
	load, reported := settings.NoLoad, false
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if !(v >= 0 && v <= maxLoadFigure) { // NaN is out of range too
			return nil
		}
		settings.SetLoad(&load, name, v)
		reported = true
	}
	if !reported || load.Utilization > maxUtilization {
		return nil
	}
	return &load
}
