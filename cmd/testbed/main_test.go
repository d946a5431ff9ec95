package main

import (
	"eiderspread/internal/decision/errorbound"
	"eiderspread/internal/testbed/simulation"
	"strings"
	"testing"
)

// Guards against a command line that is wrong and yet accepted.
func TestRun(t *testing.T) {
	for want, args := range map[string][]string{
		"no command given":  nil,
		"unknown command":   {"plan"},
		"flag provided but": {"lab", "-quick"},
		"size \"x\"":        {"lab", "-cost", "-sizes", "x", "-dir", t.TempDir()},
	} {
		if err := run(args); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("run(%q) = %v, want an error with %q", args, err, want)
		}
	}
}

func TestBudgetIsPrinted(t *testing.T) {
	var out strings.Builder
	if err := printBudget([]string{"-gateways", "80", "-rate", "25", "-burst", "48"}, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 1+int(errorbound.FaultKinds) || !strings.HasPrefix(lines[1], "calm") {
		t.Errorf("got %d lines, want a header and %d kinds of failure, \"calm\" first:\n%s", len(lines), int(errorbound.FaultKinds), out.String())
	}
	for _, bad := range [][]string{{"-rate", "0"}, {"-sides", "1"}, {"-loss", "2"}, {"more"}, {"-gateways", "0"}} {
		if err := printBudget(bad, &out); err == nil {
			t.Errorf("printBudget(%q) = nil, want an error", bad)
		}
	}
}

func TestCountsArePrinted(t *testing.T) {
	var out strings.Builder
	if err := printCounts([]string{"-ingresses", "3", "-seeds", "1"}, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 2+len(simulation.CountFailures) {
		t.Errorf("got %d lines, want two header lines and %d failures:\n%s", len(lines), len(simulation.CountFailures), out.String())
	}
	for _, bad := range [][]string{{"-ingresses", "1"}, {"-ingresses", "4,x"}, {"-seeds", "0"}} {
		if err := printCounts(bad, &out); err == nil {
			t.Errorf("printCounts(%q) = nil, want an error", bad)
		}
	}
}
