package trace

import (
	"bytes"
	"testing"

	"eiderspread/internal/lab/golden"
	"eiderspread/internal/terms"
	"eiderspread/internal/why"
)

// Guards the file of a trace, and the names of steps and reasons.
func TestGoldenFile(t *testing.T) {
	var want File
	golden.Fill(&want.Header)
	golden.Fill(&want.Decisions)
	want.Magic, want.Version, want.Lost = magic, Version, 7
	var b bytes.Buffer
	w, err := NewWriter(&b, want.Header)
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Write(want.Decisions, want.Lost); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(golden.Check(t, "run.trace", b.Bytes())))
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "trace", got, &want)
	var names bytes.Buffer
	for step := why.StepArrived; step.String() != "?"; step++ {
		names.WriteString(step.String() + "\n")
	}
	for _, r := range why.Reasons() {
		names.WriteString(r.String() + "\n")
	}
	golden.Check(t, "names.txt", names.Bytes())
	golden.Same(t, "numbers of statuses", []terms.Status{terms.OK, terms.Error, terms.Rejected, terms.Timeout, terms.ConnectFailed, terms.Reset,
		terms.Cancelled, terms.NotSent}, []terms.Status{0, 1, 2, 3, 4, 5, 6, 7})
	golden.Same(t, "numbers of effects", []terms.Idempotency{terms.Idempotent, terms.KeyedIdempotent, terms.NonIdempotent}, []terms.Idempotency{0, 1, 2})
	golden.Same(t, "numbers of scopes", []terms.KeyScope{terms.ScopeAll, terms.ScopeZone, terms.ScopeCell}, []terms.KeyScope{0, 1, 2})
}
