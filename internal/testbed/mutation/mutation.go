// Package mutation removes guards from the program, one at a time, to check that the testbed detects each removal: a
// run that can't fail shows nothing. It does not change the sources: a mutant is built with an overlay over them.
package mutation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Edit replaces a text that occurs exactly once in a file.
type Edit struct{ File, Old, New string }

// Mutation is the removal of one guard.
type Mutation struct {
	Name   string // name of the guard
	Rule   string // rule that the guard enforces, by its name in the oracle's report
	Edits  []Edit
	Runs   []string // runs that need the guard, the likeliest to fail first: arguments of testbed, or agentPrefix and those of membershipagent
	Unit   string   // package whose unit tests fail as well; "": none
	Reason string   // why no run catches the mutant, and what the guard is for nevertheless; "": a run must catch it
}

// Result is the outcome of a mutant's runs.
type Result struct {
	Caught  bool
	Run     string        // arguments of the run that caught the mutant
	After   time.Duration // time from the start of the first run until a run caught the mutant
	Verdict string        // the violated rule and how often it was violated
	Unit    string        // result of the unit tests: "caught" or "passed"; "": not run
}

// Runner builds and runs mutants of the sources in Root. It writes its files to Dir.
type Runner struct {
	Root, Dir string
	Timeout   time.Duration // upper bound for the duration of one run
}

// Apply writes a mutant's overlay and returns its path. An old text that does not occur exactly once in its file is an
// error, because the list must be updated with the sources.
func (r Runner) Apply(m Mutation) (overlay string, err error) {
	dir := filepath.Join(r.Dir, strings.ReplaceAll(m.Name, " ", "-"))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	texts := map[string]string{}
	for _, e := range m.Edits {
		if _, ok := texts[e.File]; !ok {
			b, err := os.ReadFile(filepath.Join(r.Root, e.File))
			if err != nil {
				return "", err
			}
			texts[e.File] = string(b)
		}
		if n := strings.Count(texts[e.File], e.Old); n != 1 {
			return "", fmt.Errorf("mutant %q no longer applies: %q occurs %d times in %s, want once", m.Name, e.Old, n, e.File)
		}
		texts[e.File] = strings.Replace(texts[e.File], e.Old, e.New, 1)
	}
	replace := map[string]string{}
	for file, text := range texts {
		path := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", err
		}
		abs, err := filepath.Abs(filepath.Join(r.Root, file))
		if err != nil {
			return "", err
		}
		replace[abs] = path
	}
	text, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		return "", err
	}
	overlay = filepath.Join(dir, "overlay.json")
	return overlay, os.WriteFile(overlay, text, 0o600)
}

// Build builds a mutant, or the unchanged program for a zero Mutation, and returns the directory of the binaries.
func (r Runner) Build(ctx context.Context, m Mutation) (bin string, err error) {
	overlay, err := r.Apply(m)
	if err != nil {
		return "", err
	}
	bin = filepath.Join(filepath.Dir(overlay), "bin")
	args := []string{"build", "-overlay", overlay, "-o", bin + "/", "./cmd/testbed", "./cmd/fleet", "./cmd/eiderspread"}
	if slices.ContainsFunc(m.Runs, func(run string) bool { return strings.HasPrefix(run, agentPrefix) }) {
		args = append(args, "./cmd/membershipagent")
	}
	c := exec.CommandContext(ctx, "go", args...)
	c.Dir = r.Root
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("mutant %q does not build: %w: %s", m.Name, err, out)
	}
	return bin, nil
}

// Play builds a mutant and executes its runs until one reports a violation of m.Rule. A run that can't be carried out
// is an error. With unit it also runs the unit tests of m.Unit.
func (r Runner) Play(ctx context.Context, m Mutation, unit bool) (res Result, err error) {
	bin, err := r.Build(ctx, m)
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(bin)
	began := time.Now()
	for _, args := range m.Runs {
		verdict, err := r.run(ctx, bin, args, m.Rule)
		if err != nil {
			return res, fmt.Errorf("mutant %q: %s: %w", m.Name, args, err)
		}
		if verdict != "" {
			res.Caught, res.Run, res.After, res.Verdict = true, args, time.Since(began), verdict
			break
		}
	}
	if unit && m.Unit != "" {
		c := exec.CommandContext(ctx, "go", "test", "-count=1", "-overlay", filepath.Join(filepath.Dir(bin), "overlay.json"), m.Unit)
		c.Dir = r.Root
		res.Unit = "passed"
		if c.Run() != nil {
			res.Unit = "caught"
		}
	}
	return res, nil
}

// run executes one run and returns how often it violated the rule, as text; "": it did not.
func (r Runner) run(ctx context.Context, bin, args, rule string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	if args, ok := strings.CutPrefix(args, agentPrefix); ok {
		return r.runProgram(ctx, filepath.Join(bin, "membershipagent"), strings.Fields(args), rule)
	}
	return r.runProgram(ctx, filepath.Join(bin, "testbed"), strings.Fields(args), rule)
}

// agentPrefix marks a run as one of membershipagent.
const agentPrefix = "membershipagent "

// runProgram runs a program and searches its output for violations of the rule, as run does. A run that fails without
// printing a verdict is an error.
func (r Runner) runProgram(ctx context.Context, program string, list []string, rule string) (string, error) {
	if list[0] == "lab" {
		dir, err := os.MkdirTemp(r.Dir, "run")
		if err != nil {
			return "", err
		}
		defer os.RemoveAll(dir)
		list = append(list, "-dir", dir)
	}
	c := exec.CommandContext(ctx, program, list...)
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return "", nil
	case ctx.Err() != nil || !errors.As(err, &exit):
		return "", fmt.Errorf("%w: %.300s", errors.Join(err, ctx.Err()), out)
	}
	hasVerdict := false
	for line := range strings.Lines(string(out)) {
		line = strings.TrimSpace(line)
		if f := strings.Fields(strings.TrimPrefix(line, rule)); strings.HasPrefix(line, rule) && len(f) > 1 {
			if f[0] == "breaches" { // sim prints this word before the number
				f = f[1:]
			}
			if n, err := strconv.Atoi(strings.Trim(f[0], ",")); err == nil && n > 0 {
				return fmt.Sprintf("%s violated %d times", rule, n), nil
			}
		}
		hasVerdict = hasVerdict || strings.HasPrefix(line, "verdict: ") || strings.Contains(line, "schedules failed")
	}
	if hasVerdict { // another rule was violated, or occasions were too few: neither shows that the guard is missing
		return "", nil
	}
	return "", fmt.Errorf("no verdict in the output: %.600s", out)
}
