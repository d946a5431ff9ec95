package analyse

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"

	"eiderspread/internal/decision/reason"
)

// Row sums decisions that have something in common. Worth is by the settings; Fit counts those whose units the account's true
// window and ceiling held at that moment.
type Row struct {
	Key                           string
	Count, Fitting, ClientRetries int
	Units                         float64
	Value, FittingValue           float64
	ReplyAgeSumS, ShortfallSum    float64 // of the owner's word; units beyond the room that the gateway saw, where there is less
}

// Rejected tells that the record is a final answer in the gateway's own words.
func Rejected(r Record) bool { return r.Step == reason.StepRejected || r.Step == reason.StepFailed }

// SumBy sums those records that are wanted by a key, the dearest first.
func (run *Run) SumBy(want func(Record) bool, key func(Record) string) []Row {
	rows := map[string]*Row{}
	for _, r := range run.Records {
		if !want(r) {
			continue
		}
		k := key(r)
		row := rows[k]
		if row == nil {
			row = &Row{Key: k}
			rows[k] = row
		}
		worth := run.Value(r)
		row.Count++
		row.Units += r.Units
		row.Value += worth
		row.ReplyAgeSumS += float64(r.ReplyAgeS)
		row.ShortfallSum += max(r.Units-float64(r.WindowAvailable), 0)
		if r.ClientRetry {
			row.ClientRetries++
		}
		if r.Fits() {
			row.Fitting++
			row.FittingValue += worth
		}
	}
	list := slices.Collect(maps.Values(rows))
	slices.SortFunc(list, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(b.FittingValue, a.FittingValue), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
	out := make([]Row, len(list))
	for i, r := range list {
		out[i] = *r
	}
	return out
}

// Keys by which a table can be made.
var Keys = map[string]func(Record) string{
	"reason":  func(r Record) string { return r.Reason.String() },
	"plan":    func(r Record) string { return r.Plan },
	"class":   func(r Record) string { return r.Class },
	"gateway": func(r Record) string { return r.Name },
	"account": func(r Record) string { return fmt.Sprintf("%08x", r.Account) },
	"owner": func(r Record) string {
		switch {
		case r.Owner != r.PrimaryOwner:
			return "stand-in"
		case r.Owner == r.Gateway:
			return "itself"
		}
		return "another"
	},
}

// PrintTable writes rows as a table.
func PrintTable(w io.Writer, head string, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tnumber\tunits\tworth\twith room\tits worth\tlater tries\tword's age s\tshort units\t\n", head)
	var all Row
	for _, r := range append(slices.Clone(rows), all) {
		if r.Key == "" && r.Count == 0 {
			r = all
			r.Key = "all"
		} else {
			all.Count, all.Fitting, all.ClientRetries = all.Count+r.Count, all.Fitting+r.Fitting, all.ClientRetries+r.ClientRetries
			all.Units, all.Value, all.FittingValue = all.Units+r.Units, all.Value+r.Value, all.FittingValue+r.FittingValue
			all.ReplyAgeSumS, all.ShortfallSum = all.ReplyAgeSumS+r.ReplyAgeSumS, all.ShortfallSum+r.ShortfallSum
		}
		n := max(float64(r.Count), 1)
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%d\t%.0f\t%d\t%.2f\t%.2f\t\n", r.Key, r.Count, r.Units, r.Value, r.Fitting, r.FittingValue, r.ClientRetries, r.ReplyAgeSumS/n, r.ShortfallSum/n)
	}
	return t.Flush()
}

// WriteCSV writes every record that is wanted, a line each.
func (run *Run) WriteCSV(w io.Writer, want func(Record) bool) error {
	out := csv.NewWriter(w)
	f := func(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }
	out.Write([]string{"at", "gateway", "step", "reason", "id", "account", "plan", "class", "units", "later", "left", "aim", "latency", "owner", "prime", "room", "age",
		"mine", "others", "ceiling", "pool", "out", "most", "attempt", "server", "status", "from", "free", "fits"})
	for _, r := range run.Records {
		if !want(r) {
			continue
		}
		out.Write([]string{f(r.At - run.Start), r.Name, r.Step.String(), r.Reason.String(), r.ID, fmt.Sprintf("%08x", r.Account), r.Plan, r.Class, f(r.Units),
			strconv.FormatBool(r.ClientRetry), f(float64(r.RemainingS)), f(float64(r.ObjectiveRemainingS)), f(float64(r.MeanLatencyS)), strconv.Itoa(r.Owner), strconv.Itoa(r.PrimaryOwner), f(float64(r.WindowAvailable)),
			f(float64(r.ReplyAgeS)), f(float64(r.LocalDemand)), f(float64(r.OtherDemand)), f(float64(r.HardLimitLocal)), f(float64(r.HardLimitShared)), strconv.Itoa(r.InFlight), f(float64(r.InFlightLimit)),
			strconv.Itoa(r.Attempt), r.Backend, strconv.Itoa(r.Status), strconv.Itoa(r.Requester), f(r.WindowFree), strconv.FormatBool(r.Fits())})
	}
	out.Flush()
	return out.Error()
}

// CountOverTime sums refusals by reason in steps of so many seconds from the start.
func (run *Run) CountOverTime(step float64, want func(Record) bool) (bins int, by map[reason.Reason][]int) {
	by = map[reason.Reason][]int{}
	for _, r := range run.Records {
		bins = max(bins, int((r.At-run.Start)/step)+1)
	}
	for _, r := range run.Records {
		if want(r) {
			if by[r.Reason] == nil {
				by[r.Reason] = make([]int, bins)
			}
			by[r.Reason][int((r.At-run.Start)/step)]++
		}
	}
	return bins, by
}
