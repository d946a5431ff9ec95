// Package mutation takes guards out of the program, one at a time, to see whether the testbed finds out: a run that
// could not lose its verdict shows nothing. Sources stay as they are: a mutant is built from an overlay of theirs.
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

// Edit replaces a text that stands exactly once in a file.
type Edit struct{ File, Old, New string }

// Mutation is the removal of one guard.
type Mutation struct {
	Name   string // of the guard
	Rule   string // that it is there for, as the auditor words it
	Edits  []Edit
	Runs   []string // arguments of testbed, or membershipagent with its own, that bring the guard's occasions, the likeliest to object first
	Unit   string   // package whose own tests are to fail too, "" if none is
	Reason string   // of one that no run catches: why it is there all the same
}

// Result is what became of a mutant.
type Result struct {
	Caught  bool
	Run     string        // the run that objected
	After   time.Duration // from the first run's start on
	Verdict string        // the verdict
	Unit    string        // caught, passed, "" if not tried
}

// Runner builds and runs mutants of the sources at Root, with files of its own in Dir.
type Runner struct {
	Root, Dir string
	Most      time.Duration // for one run
}

// Apply writes a mutant's overlay and returns its path. A text that does not stand exactly once is an error: the list has
// to follow the sources.
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
			return "", fmt.Errorf("mutant %q no longer applies: %q stands %d times in %s", m.Name, e.Old, n, e.File)
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

// Build builds a mutant, or with the zero Mutant the program as it is, and returns the folder of its programs.
func (r Runner) Build(ctx context.Context, m Mutation) (bin string, err error) {
	overlay, err := r.Apply(m)
	if err != nil {
		return "", err
	}
	bin = filepath.Join(filepath.Dir(overlay), "bin")
	args := []string{"build", "-overlay", overlay, "-o", bin + "/", "./cmd/testbed", "./cmd/fleet", "./cmd/eiderspread"}
	if slices.ContainsFunc(m.Runs, func(run string) bool { return strings.HasPrefix(run, watch) }) {
		args = append(args, "./cmd/membershipagent")
	}
	c := exec.CommandContext(ctx, "go", args...)
	c.Dir = r.Root
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("mutant %q does not build: %w: %s", m.Name, err, out)
	}
	return bin, nil
}

// Play builds a mutant and runs its runs until one objects. An object is a broken rule, not a run that could not be made.
func (r Runner) Play(ctx context.Context, m Mutation, unit bool) (res Result, err error) {
	bin, err := r.Build(ctx, m)
	if err != nil {
		return res, err
	}
	defer os.RemoveAll(bin)
	began := time.Now()
	for _, args := range m.Runs {
		said, err := r.run(ctx, bin, args, m.Rule)
		if err != nil {
			return res, fmt.Errorf("mutant %q: %s: %w", m.Name, args, err)
		}
		if said != "" {
			res.Caught, res.Run, res.After, res.Verdict = true, args, time.Since(began), said
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

// run makes one run and returns what the auditor objected to, "" if nothing.
func (r Runner) run(ctx context.Context, bin, args, rule string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Most)
	defer cancel()
	if args, ok := strings.CutPrefix(args, watch); ok {
		return r.run1(ctx, filepath.Join(bin, "membershipagent"), strings.Fields(args), rule)
	}
	return r.run1(ctx, filepath.Join(bin, "testbed"), strings.Fields(args), rule)
}

// watch stands before runs of membershipagent.
const watch = "membershipagent "

func (r Runner) run1(ctx context.Context, program string, list []string, rule string) (string, error) {
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
	verdict := false
	for line := range strings.Lines(string(out)) {
		line = strings.TrimSpace(line)
		if f := strings.Fields(strings.TrimPrefix(line, rule)); strings.HasPrefix(line, rule) && len(f) > 1 {
			if f[0] == "breaches" { // as sim words it
				f = f[1:]
			}
			if n, err := strconv.Atoi(strings.Trim(f[0], ",")); err == nil && n > 0 {
				return fmt.Sprintf("%s broken %d times", rule, n), nil
			}
		}
		verdict = verdict || strings.HasPrefix(line, "verdict: ") || strings.Contains(line, "schedules failed")
	}
	if verdict { // another rule, or too few occasions: it is not what the guard is for
		return "", nil
	}
	return "", fmt.Errorf("no verdict: %.600s", out)
}
