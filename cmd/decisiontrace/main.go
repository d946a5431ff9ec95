// Command decisiontrace reads and joins the decision traces of all gateways of a run. It shows why the gateways rejected, queued,
// sent or retried requests: as tables, CSV, pictures and OpenTelemetry spans.
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
	Files []string `arg:"" type:"path" help:"Trace files, or directories with *.trace files."`
	From  float64  `help:"Leave out records before this time, in seconds after the first record." default:"0"`
	To    float64  `help:"Leave out records from this time on, in seconds after the first record; 0 means no limit." default:"0"`
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
		fmt.Fprintf(os.Stderr, "decisiontrace: %d decisions were lost because the ring of a gateway was full, %d of %d files are truncated: counts are too low\n", run.Lost, run.Truncated, run.Files)
	}
	return run, func(r analyse.Record) bool {
		at := r.At - run.Start
		return at >= in.From && (in.To <= 0 || at < in.To)
	}, nil
}

type refusalsCmd struct {
	inputs
	By   string `help:"Keys to sum by, separated by commas: reason, plan, class, gateway, account, owner." default:"reason"`
	Why  string `help:"Count only decisions with this reason."`
	Plan string `help:"Count only decisions of this plan."`
	Most int    `help:"Maximum number of rows; 0 means all." default:"40"`
	Step string `help:"Step to count: refused (rejections and failures), or one of came, ask, queue, send, grant, turn." default:"refused"`
}

func (c *refusalsCmd) Run() error {
	run, inRange, err := c.load()
	if err != nil {
		return err
	}
	var keys []func(analyse.Record) string
	for _, name := range strings.Split(c.By, ",") {
		key, ok := analyse.Keys[name]
		if !ok {
			return fmt.Errorf("--by: unknown key %q, must be reason, plan, class, gateway, account or owner", name)
		}
		keys = append(keys, key)
	}
	rows := run.SumBy(func(r analyse.Record) bool {
		return inRange(r) && (c.Step == "refused" && analyse.RejectedOrFailed(r) || r.Step.String() == c.Step) && (c.Why == "" || r.Reason.String() == c.Why) &&
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
	ID      string `help:"Id of the request."`
	Account string `help:"The account, by its name (16 hex digits) or its key (8 hex digits)."`
}

func (c *storyCmd) Run() error {
	run, inRange, err := c.load()
	if err != nil {
		return err
	}
	var key uint64
	switch {
	case len(c.Account) == 8:
		if key, err = strconv.ParseUint(c.Account, 16, 32); err != nil {
			return fmt.Errorf("--account: parse key: %w", err)
		}
	case c.Account != "":
		key = peerprotocol.HashPoint(c.Account) >> 32
	case c.ID == "":
		return fmt.Errorf("story: --id or --account must be set")
	}
	return run.WriteCSV(os.Stdout, func(r analyse.Record) bool {
		return inRange(r) && (c.ID == "" || r.ID == c.ID) && (c.Account == "" || uint64(r.Account) == key)
	})
}

type csvCmd struct {
	inputs
	Refused bool `help:"Only rejections and failures."`
}

func (c *csvCmd) Run() error {
	run, inRange, err := c.load()
	if err != nil {
		return err
	}
	return run.WriteCSV(os.Stdout, func(r analyse.Record) bool { return inRange(r) && (!c.Refused || analyse.RejectedOrFailed(r)) })
}

type plotCmd struct {
	inputs
	Out     string  `help:"Directory to which the pictures are written." default:"." type:"existingdir"`
	Step    float64 `help:"Width of a bar in seconds." default:"1"`
	Account string  `help:"Key (8 hex digits) of the account whose available units are drawn. Default: the account with the highest value of rejected requests that fitted its quota and hard limit."`
}

func (c *plotCmd) Run() error {
	run, inRange, err := c.load()
	if err != nil {
		return err
	}
	rejected := func(r analyse.Record) bool { return inRange(r) && analyse.RejectedOrFailed(r) }
	path := filepath.Join(c.Out, "reasons.png")
	if err := plots.RejectionReasons(run, c.Step, rejected, path); err != nil {
		return err
	}
	fmt.Println(path)
	if c.Account == "" {
		rows := run.SumBy(rejected, analyse.Keys["account"])
		if len(rows) == 0 {
			return nil
		}
		c.Account = rows[0].Key
	}
	path = filepath.Join(c.Out, "rooms-"+c.Account+".png")
	if err := plots.AvailableUnits(run, c.Account, inRange, path); err != nil {
		return err
	}
	fmt.Println(path)
	return nil
}

type spansCmd struct {
	inputs
	Refused bool `help:"Only requests that were rejected or failed."`
}

func (c *spansCmd) Run() error {
	run, inRange, err := c.load()
	if err != nil {
		return err
	}
	return spans.Write(os.Stdout, run, inRange, c.Refused)
}

func main() {
	var cli struct {
		Refusals refusalsCmd `cmd:"" help:"Table of rejections and failures by reason, plan, gateway etc., and how many of them fitted the account's quota and hard limit."`
		Story    storyCmd    `cmd:"" help:"All decisions on one request or account in order of time, as CSV."`
		CSV      csvCmd      `cmd:"" name:"csv" help:"All decisions as CSV."`
		Plot     plotCmd     `cmd:"" help:"Pictures of rejection reasons over time, and of an account's available units: as each gateway knew them, and replayed from the attempts of all gateways."`
		Spans    spansCmd    `cmd:"" help:"One OpenTelemetry span per request and one per attempt, as OTLP JSON."`
		Reasons  reasonsCmd  `cmd:"" help:"List of all reasons."`
		Overload overloadCmd `cmd:"" help:"Pictures of runs under overload: value per second and load-shedding levels of the gateways."`
	}
	ctx := kong.Parse(&cli, kong.Name("decisiontrace"), kong.Description("Reads the decision traces of all gateways of a run and shows the reasons of the decisions."), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

type reasonsCmd struct{}

func (reasonsCmd) Run() error {
	for _, r := range reason.Reasons() {
		fmt.Println(r)
	}
	return nil
}
