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

// Row holds the sums over all records with the same key.
type Row struct {
	Key           string
	Count         int
	Fitting       int // records for which Record.Fits is true
	ClientRetries int
	Units         float64
	Value         float64 // sum of Run.Value
	FittingValue  float64 // sum of Run.Value over the fitting records
	ReplyAgeSumS  float64 // sum of the ages of the owner replies that the decisions are based on, in seconds
	ShortfallSum  float64 // units by which the records exceed what the gateway knew as available in the window
}

func (row *Row) add(other Row) {
	row.Count += other.Count
	row.Fitting += other.Fitting
	row.ClientRetries += other.ClientRetries
	row.Units += other.Units
	row.Value += other.Value
	row.FittingValue += other.FittingValue
	row.ReplyAgeSumS += other.ReplyAgeSumS
	row.ShortfallSum += other.ShortfallSum
}

// rowOf returns the Row of one record, without its key.
func (run *Run) rowOf(r Record) Row {
	row := Row{Count: 1, Units: r.Units, Value: run.Value(r), ReplyAgeSumS: float64(r.ReplyAgeS),
		ShortfallSum: max(r.Units-float64(r.WindowAvailable), 0)}
	if r.ClientRetry {
		row.ClientRetries = 1
	}
	if r.Fits() {
		row.Fitting, row.FittingValue = 1, row.Value
	}
	return row
}

// SumBy groups the records that filter accepts by the value of key, and returns one row with the sums of each group. The
// rows are sorted by descending FittingValue, then descending Count, then ascending Key.
func (run *Run) SumBy(filter func(Record) bool, key func(Record) string) []Row {
	rows := map[string]Row{}
	for _, r := range run.Records {
		if filter(r) {
			k := key(r)
			row := rows[k]
			row.Key = k
			row.add(run.rowOf(r))
			rows[k] = row
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.FittingValue, a.FittingValue), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Key, b.Key))
	})
}

// Keys maps the name of each key to the function that returns the key of a record, for SumBy.
var Keys = map[string]func(Record) string{
	"reason":  func(r Record) string { return r.Reason.String() },
	"plan":    func(r Record) string { return r.Plan },
	"class":   func(r Record) string { return r.Class },
	"gateway": func(r Record) string { return r.GatewayName },
	"account": func(r Record) string { return fmt.Sprintf("%08x", r.Account) },
	"owner":   ownerRole,
}

// ownerRole returns which gateway counted the account: the gateway itself, another one, or a stand-in for a suspected owner. A
// record with a stand-in returns "stand-in" also if the gateway itself is the stand-in.
func ownerRole(r Record) string {
	switch {
	case r.Owner != r.PrimaryOwner:
		return "stand-in"
	case r.Owner == r.Gateway:
		return "itself"
	}
	return "another"
}

// PrintTable writes rows and their sum as a table. keyName is the heading of the first column.
func PrintTable(w io.Writer, keyName string, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tnumber\tunits\tworth\twith room\tits worth\tlater tries\tword's age s\tshort units\t\n", keyName)
	sum := Row{Key: "all"}
	for _, r := range rows {
		printRow(t, r)
		sum.add(r)
	}
	printRow(t, sum)
	return t.Flush()
}

func printRow(w io.Writer, r Row) {
	n := max(float64(r.Count), 1)
	fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%d\t%.0f\t%d\t%.2f\t%.2f\t\n", r.Key, r.Count, r.Units, r.Value, r.Fitting, r.FittingValue, r.ClientRetries,
		r.ReplyAgeSumS/n, r.ShortfallSum/n)
}

// csvColumns are the columns of WriteCSV. Their names are part of the output format and do not change.
var csvColumns = []struct {
	name  string
	value func(run *Run, r Record) string
}{
	{"at", func(run *Run, r Record) string { return decimal(r.At - run.Start) }},
	{"gateway", func(_ *Run, r Record) string { return r.GatewayName }},
	{"step", func(_ *Run, r Record) string { return r.Step.String() }},
	{"reason", func(_ *Run, r Record) string { return r.Reason.String() }},
	{"id", func(_ *Run, r Record) string { return r.ID }},
	{"account", func(_ *Run, r Record) string { return fmt.Sprintf("%08x", r.Account) }},
	{"plan", func(_ *Run, r Record) string { return r.Plan }},
	{"class", func(_ *Run, r Record) string { return r.Class }},
	{"units", func(_ *Run, r Record) string { return decimal(r.Units) }},
	{"later", func(_ *Run, r Record) string { return strconv.FormatBool(r.ClientRetry) }},
	{"left", func(_ *Run, r Record) string { return decimal(float64(r.RemainingS)) }},
	{"aim", func(_ *Run, r Record) string { return decimal(float64(r.ObjectiveRemainingS)) }},
	{"latency", func(_ *Run, r Record) string { return decimal(float64(r.MeanLatencyS)) }},
	{"owner", func(_ *Run, r Record) string { return strconv.Itoa(r.Owner) }},
	{"prime", func(_ *Run, r Record) string { return strconv.Itoa(r.PrimaryOwner) }},
	{"room", func(_ *Run, r Record) string { return decimal(float64(r.WindowAvailable)) }},
	{"age", func(_ *Run, r Record) string { return decimal(float64(r.ReplyAgeS)) }},
	{"mine", func(_ *Run, r Record) string { return decimal(float64(r.LocalDemand)) }},
	{"others", func(_ *Run, r Record) string { return decimal(float64(r.OtherDemand)) }},
	{"ceiling", func(_ *Run, r Record) string { return decimal(float64(r.HardLimitLocal)) }},
	{"pool", func(_ *Run, r Record) string { return decimal(float64(r.HardLimitShared)) }},
	{"out", func(_ *Run, r Record) string { return strconv.Itoa(r.InFlight) }},
	{"most", func(_ *Run, r Record) string { return decimal(float64(r.InFlightLimit)) }},
	{"attempt", func(_ *Run, r Record) string { return strconv.Itoa(r.Attempt) }},
	{"server", func(_ *Run, r Record) string { return r.Backend }},
	{"status", func(_ *Run, r Record) string { return strconv.Itoa(r.Status) }},
	{"from", func(_ *Run, r Record) string { return strconv.Itoa(r.Requester) }},
	{"free", func(_ *Run, r Record) string { return decimal(r.WindowFree) }},
	{"fits", func(_ *Run, r Record) string { return strconv.FormatBool(r.Fits()) }},
}

func decimal(x float64) string { return strconv.FormatFloat(x, 'f', 4, 64) }

// WriteCSV writes the records that filter accepts as CSV, one per line, after a header line with the column names.
func (run *Run) WriteCSV(w io.Writer, filter func(Record) bool) error {
	out := csv.NewWriter(w)
	line := make([]string, len(csvColumns))
	for i, c := range csvColumns {
		line[i] = c.name
	}
	if err := out.Write(line); err != nil {
		return fmt.Errorf("write CSV header: %w", err)
	}
	for _, r := range run.Records {
		if !filter(r) {
			continue
		}
		for i, c := range csvColumns {
			line[i] = c.value(run, r)
		}
		if err := out.Write(line); err != nil {
			return fmt.Errorf("write CSV record: %w", err)
		}
	}
	out.Flush()
	return out.Error()
}

// CountOverTime counts the records that filter accepts by reason, in bins of stepS seconds from the start of the run. bins is the
// number of bins up to the last record of the run, and the length of each list in counts.
func (run *Run) CountOverTime(stepS float64, filter func(Record) bool) (bins int, counts map[reason.Reason][]int) {
	bin := func(r Record) int { return int((r.At - run.Start) / stepS) }
	for _, r := range run.Records {
		bins = max(bins, bin(r)+1)
	}
	counts = map[reason.Reason][]int{}
	for _, r := range run.Records {
		if !filter(r) {
			continue
		}
		if counts[r.Reason] == nil {
			counts[r.Reason] = make([]int, bins)
		}
		counts[r.Reason][bin(r)]++
	}
	return bins, counts
}
