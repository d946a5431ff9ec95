package callprotocol

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"eiderspread/internal/dataplane/settings"
	"eiderspread/policy"
)

// Result is the outcome of an attempt or a health check.
type Result struct {
	Status policy.Status
	Value  []byte       // with OK: the value as the backend encoded it in RESP; nil for a health check
	Load   *policy.Load // nil if the reply has no valid load report
	Probe  bool         // whether the reply answers a health check
	Err    error        // why the reply can't be used; nil if it can
}

// Malformed returns the result of a reply that can't be used. The request may have run. All that such a reply says about the backend is
// that it is up and handles requests.
func Malformed(cause error) Result { return Result{Status: policy.Error, Err: cause} }

// ParseReply parses one complete reply. An invalid load report does not invalidate the value before it.
func ParseReply(b []byte) Result {
	_, v := redcon.ReadNextRESP(b)
	switch v.Type {
	case redcon.Array:
		return parseValueReply(v)
	case redcon.Bulk: // the reply to a health check
		if v.Data != nil {
			return Result{Status: policy.OK, Probe: true, Load: ParseLoad(string(v.Data))}
		}
	case redcon.Error:
		return parseErrorReply(string(v.Data))
	}
	return Malformed(ErrNotReply)
}

// parseValueReply parses an array of the value, usage figures, which are meant for the client and ignored here, and a load report.
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

// parseErrorReply parses an error reply. BUSY guarantees that the request did not run; after any other error it may have run. The text
// after the last space may be a load report.
func parseErrorReply(text string) Result {
	res := Result{Status: policy.Error}
	if code, _, _ := strings.Cut(text, " "); code == "BUSY" {
		res.Status = policy.Rejected
	}
	res.Load = ParseLoad(text[strings.LastIndexByte(text, ' ')+1:])
	return res
}

// Upper bounds of the figures in a load report. Backends measure their utilization, which may therefore come out slightly above 1.
const (
	maxLoadFigure  = 1e6
	maxUtilization = 4
)

// ParseLoad parses a load report. It returns nil if the report has no figure, or one out of range: the other figures can't be trusted then
// either.
func ParseLoad(text string) *policy.Load {
	load, reported := settings.NoLoad, false
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if !(v >= 0 && v <= maxLoadFigure) { // this form also rejects NaN
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
