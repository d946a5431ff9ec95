package ingress

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"eiderspread/internal/base/settings"
	"eiderspread/policy"
)

// attemptResult is how an attempt ended.
type attemptResult struct {
	status    policy.Status
	value     []byte // served: the value in RESP, as the backend wrote it
	load      *policy.Load
	isProbe   bool   // a reply to a probe
	malformed string // why the reply could not be used
}

// malformedReply is a reply that can't be used: its request may have run, and nothing is told of the backend
// beyond that, which is up and at work.
func malformedReply(why string) attemptResult {
	return attemptResult{status: policy.Error, malformed: why}
}

// parseReply reads one whole reply. A value stands whatever the figures behind it look like.
func parseReply(b []byte) attemptResult {
	_, v := redcon.ReadNextRESP(b)
	switch v.Type {
	case redcon.Array:
		var parts []redcon.RESP
		v.ForEach(func(p redcon.RESP) bool {
			parts = append(parts, p)
			return true
		})
		if len(parts) == 0 || parts[0].Type != redcon.Bulk || parts[0].Data == nil {
			return malformedReply("no value")
		}
		res := attemptResult{status: policy.OK, value: bytes.Clone(parts[0].Raw)}
		if len(parts) > 2 && parts[2].Data != nil {
			res.load = parseLoad(string(parts[2].Data))
		}
		return res
	case redcon.Bulk: // of a probe
		if v.Data != nil {
			return attemptResult{status: policy.OK, isProbe: true, load: parseLoad(string(v.Data))}
		}
	case redcon.Error:
		text := string(v.Data)
		res := attemptResult{status: policy.Error}
		if word, _, _ := strings.Cut(text, " "); word == "BUSY" {
			res.status = policy.Rejected
		}
		res.load = parseLoad(text[strings.LastIndexByte(text, ' ')+1:])
		return res
	}
	return malformedReply("not a reply")
}

// maxLoadFigure bounds what a figure of a load report is believed: what stands above it is noise. Shares of
// use are measured, and may come a little above 1.
const (
	maxLoadFigure  = 1e6
	maxUtilization = 4
)

// parseLoad reads a load report, nil if there is none or if any of it is out of range: it came
// spoilt then, and what else it says is worth no more.
func parseLoad(text string) *policy.Load {
	load, some := settings.NoLoad, false
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if !(v >= 0 && v <= maxLoadFigure) {
			return nil
		}
		settings.SetLoad(&load, name, v)
		some = true
	}
	if !some || load.Utilization > maxUtilization {
		return nil
	}
	return &load
}
