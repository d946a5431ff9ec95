// Command decisiontrace reads the traces of decisions of all ingresses of a run, joins them, and tells why.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/alecthomas/kong"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/reason"
	"eiderspread/internal/observability/trace/analyse"
	"eiderspread/internal/observability/trace/plots"
	"eiderspread/internal/observability/trace/spans"
)

type inputs struct {
	Files []string `arg:"" type:"path" help:"Trace files, or folders of them."`
	From  float64  `help:"Only from so many seconds after the first record on." default:"0"`
	To    float64  `help:"Only up to then; 0: to the end." default:"0"`
}

func (in inputs) load() (*analyse.Run, func(analyse.Record) bool, error) {
	var paths []string
	for _, p := range in.Files {
		if st, err := os.Stat(p); err != nil {
			return nil, nil, err
		} else if !st.IsDir() {
			paths = append(paths, p)
			continue
		}
		found, err := filepath.Glob(filepath.Join(p, "*.trace"))
		if err != nil {
			return nil, nil, err
		}
		paths = append(paths, found...)
	}
	run, err := analyse.Load(paths)
	if err != nil {
		return nil, nil, err
	}
	if run.Lost > 0 || run.Truncated > 0 {
		fmt.Fprintf(os.Stderr, "decisiontrace: %d records were lost for want of room, %d of %d files are cut off: counts are too low\n", run.Lost, run.Truncated, run.Files)
	}
	return run, func(r analyse.Record) bool {
		at := r.At - run.Start
		return at >= in.From && (in.To <= 0 || at < in.To)
	}, nil
}

type refusalsCmd struct {
	inputs
	By   string `help:"What to sum by: reason, plan, class, gateway, account, owner; several with commas." default:"reason"`
	Why  string `help:"Only for this reason."`
	Plan string `help:"Only of this plan."`
	Most int    `help:"Rows at most; 0: all." default:"40"`
	Step string `help:"Which steps: refused, or one of came, ask, queue, send, grant, turn." default:"refused"`
}

func (c *refusalsCmd) Run() error {
	run, inside, err := c.load()
	if err != nil {
		return err
	}
	var keys []func(analyse.Record) string
	for _, name := range strings.Split(c.By, ",") {
		key, ok := analyse.Keys[name]
		if !ok {
			return fmt.Errorf("nothing is summed by %q", name)
		}
		keys = append(keys, key)
	}
	rows := run.SumBy(func(r analyse.Record) bool {
		return inside(r) && (c.Step == "refused" && analyse.Rejected(r) || r.Step.String() == c.Step) && (c.Why == "" || r.Reason.String() == c.Why) &&
			(c.Plan == "" || r.Plan == c.Plan)
	}, func(r analyse.Record) string {
		var parts []string
		for _, k := range keys {
			parts = append(parts, k(r))
		}
		return strings.Join(parts, " ")
	})
	if c.Most > 0 && len(rows) > c.Most {
		rows = rows[:c.Most]
	}
	return analyse.PrintTable(os.Stdout, c.By, rows)
}

type storyCmd struct {
	inputs
	ID      string `help:"The request's id."`
	Account string `help:"The account: its name (16 hex digits), or its key (8)."`
}

func (c *storyCmd) Run() error {
	run, inside, err := c.load()
	if err != nil {
		return err
	}
	var key uint64
	switch {
	case len(c.Account) == 8:
		if key, err = strconv.ParseUint(c.Account, 16, 32); err != nil {
			return fmt.Errorf("account: %w", err)
		}
	case c.Account != "":
		key = peerprotocol.HashPoint(c.Account) >> 32
	case c.ID == "":
		return fmt.Errorf("a story needs --id or --account")
	}
	return run.WriteCSV(os.Stdout, func(r analyse.Record) bool {
		return inside(r) && (c.ID == "" || r.ID == c.ID) && (c.Account == "" || uint64(r.Account) == key)
	})
}

type csvCmd struct {
	inputs
	Refused bool `help:"Only refusals and failures."`
}

func (c *csvCmd) Run() error {
	run, inside, err := c.load()
	if err != nil {
		return err
	}
	return run.WriteCSV(os.Stdout, func(r analyse.Record) bool { return inside(r) && (!c.Refused || analyse.Rejected(r)) })
}

type plotCmd struct {
	inputs
	Out     string  `help:"Folder for the pictures." default:"." type:"existingdir"`
	Step    float64 `help:"Seconds a bar." default:"1"`
	Account string  `help:"Also this account's rooms: its key (8 hex digits). Without it, that of the account that was refused most with room."`
}

func (c *plotCmd) Run() error {
	run, inside, err := c.load()
	if err != nil {
		return err
	}
	refused := func(r analyse.Record) bool { return inside(r) && analyse.Rejected(r) }
	path := filepath.Join(c.Out, "reasons.png")
	if err := plots.RejectionReasons(run, c.Step, refused, path); err != nil {
		return err
	}
	fmt.Println(path)
	if c.Account == "" {
		rows := run.SumBy(refused, analyse.Keys["account"])
		if len(rows) == 0 {
			return nil
		}
		c.Account = rows[0].Key
	}
	path = filepath.Join(c.Out, "rooms-"+c.Account+".png")
	if err := plots.AvailableUnits(run, c.Account, inside, path); err != nil {
		return err
	}
	fmt.Println(path)
	return nil
}

type spansCmd struct {
	inputs
	Refused bool `help:"Only requests that were refused or failed."`
}

func (c *spansCmd) Run() error {
	run, inside, err := c.load()
	if err != nil {
		return err
	}
	return spans.Write(os.Stdout, run, inside, c.Refused)
}

func main() {
	var cli struct {
		Refusals refusalsCmd `cmd:"" help:"Sums refusals by reason, plan, ingress ..., with how many the account's true room held."`
		Story    storyCmd    `cmd:"" help:"All decisions on one request or account, by time, as CSV."`
		CSV      csvCmd      `cmd:"" name:"csv" help:"All decisions as CSV."`
		Plot     plotCmd     `cmd:"" help:"Pictures: reasons over time, rooms by each ingress's view beside the true one."`
		Spans    spansCmd    `cmd:"" help:"A span a request, with one an attempt, as JSON in OpenTelemetry's file form."`
		Reasons  reasonsCmd  `cmd:"" help:"The list of reasons."`
		Overload overloadCmd `cmd:"" help:"Pictures of runs under overload: worth by second, and the levels that ingresses held."`
	}
	ctx := kong.Parse(&cli, kong.Name("decisiontrace"), kong.Description("Reads traces of decisions of all ingresses of a run, and tells why."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

type reasonsCmd struct{}

func (reasonsCmd) Run() error {
	for _, r := range reason.Reasons() {
		fmt.Println(r)
	}
	return nil
}
