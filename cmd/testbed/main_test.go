package main

import (
	"eiderspread/internal/decision/errorbound"
	"eiderspread/internal/testbed/simulation"
	"strings"
	"testing"
)

// Guards the command line: a wrong call is an error.
func TestRun(t *testing.T) {
	for want, args := range map[string][]string{
		"no command given":  nil,
		"unknown command":   {"plan"},
		"flag provided but": {"lab", "-quick"},
		"size \"x\"":        {"lab", "-cost", "-sizes", "x", "-dir", t.TempDir()},
	} {
		if err := run(args); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", args, err, want)
		}
	}
}

func TestBudgetIsPrinted(t *testing.T) {
	var out strings.Builder
	if err := printBudget([]string{"-gateways", "80", "-rate", "25", "-burst", "48"}, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 1+int(errorbound.FaultKinds) || !strings.HasPrefix(lines[1], "calm") {
		t.Errorf("%s", out.String())
	}
	for _, bad := range [][]string{{"-rate", "0"}, {"-sides", "1"}, {"-loss", "2"}, {"more"}, {"-gateways", "0"}} {
		if err := printBudget(bad, &out); err == nil {
			t.Errorf("%v was taken", bad)
		}
	}
}

func TestCountsArePrinted(t *testing.T) {
	var out strings.Builder
	if err := printCounts([]string{"-ingresses", "3", "-seeds", "1"}, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); len(lines) != 2+len(simulation.CountFailures) {
		t.Errorf("%s", out.String())
	}
	for _, bad := range [][]string{{"-ingresses", "1"}, {"-ingresses", "4,x"}, {"-seeds", "0"}} {
		if err := printCounts(bad, &out); err == nil {
			t.Errorf("%v was taken", bad)
		}
	}
}
