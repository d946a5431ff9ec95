package main

import (
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"eiderspread/internal/base/peerprotocol"
	"eiderspread/internal/decision/subset"
)

// printSubsets compares the strategies for choosing the preferred nodes of each ingress, for fleets of given sizes.
func printSubsets(args []string, w io.Writer) error {
	set := flag.NewFlagSet("subsets", flag.ContinueOnError)
	fleets := set.String("fleets", "4/9,12/24,80/48,80/180,300/200,1000/2000", "fleets as ingresses/nodes, separated by commas")
	sharers := set.Int("sharers", 24, "approximate number of ingresses that prefer each node")
	least := set.Int("least", 8, "minimum number of nodes that an ingress prefers")
	skew := set.Float64("skew", 1, "unevenness of the ingresses' traffic: 0 for even, 1 for exponentially distributed")
	seed := set.Uint64("seed", 1, "seed of the traffic")
	if err := set.Parse(args); err != nil {
		return err
	}
	if *sharers < 1 || *least < 1 || *skew < 0 || set.NArg() > 0 {
		return fmt.Errorf("subsets: -sharers and -least must be at least 1, -skew not below 0, and there are no arguments")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "ingresses/nodes\tpreferred\tstrategy\tload p99/mean\tp1/mean\tbest possible\tchurn, 2%% replaced\tdivergence, 10 fewer\tunselected\ttime\n")
	for _, s := range strings.Split(*fleets, ",") {
		a, b, _ := strings.Cut(strings.TrimSpace(s), "/")
		gateways, err1 := strconv.Atoi(a)
		nodes, err2 := strconv.Atoi(b)
		if err1 != nil || err2 != nil || gateways < 1 || nodes < 1 || gateways > 2000 || nodes > 5000 {
			return fmt.Errorf("subsets: %q is not a fleet as ingresses/nodes with 1 to 2000 ingresses and 1 to 5000 nodes", s)
		}
		rng := rand.New(rand.NewPCG(*seed, 8))
		traffic := make([]float64, gateways)
		for i := range traffic {
			traffic[i] = math.Pow(0.05+rng.ExpFloat64(), *skew)
		}
		ids := hashedIDs(nodes, 0)
		replaced := append(hashedIDs(max(nodes/50, 1), 1e6), ids[max(nodes/50, 1):]...)
		other := ids[min(10, nodes-1):]
		size := subset.Size(gateways, nodes, *sharers, *least)
		most := 0.0
		for _, x := range traffic {
			most = max(most, x)
		}
		sum := 0.0
		for _, x := range traffic {
			sum += x
		}
		best := max(1, most/float64(size)/(sum/float64(nodes))) // the busiest ingress spreads its traffic over at most size nodes
		for _, strategy := range []struct {
			name string
			f    subset.Strategy
		}{{"rendezvous", subset.Rendezvous}, {"bounded", subset.BoundedRendezvous}, {"rounds", subset.ShuffledRounds}} {
			if strategy.name == "bounded" && gateways*nodes > 100000 {
				continue // too slow: it computes the choices of all ingresses up to the given one
			}
			began := time.Now()
			strategy.f(ids, gateways-1, gateways, size)
			took := time.Since(began)
			f := subset.Measure(strategy.f, ids, traffic, size, replaced, other)
			fmt.Fprintf(t, "%d/%d\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.1f%%\t%.1f%%\t%d\t%v\n", gateways, nodes, size, strategy.name, f.P99Load, f.P1Load, best, 100*f.Churn, 100*f.Divergence,
				f.Unselected, took.Round(time.Microsecond))
		}
	}
	return t.Flush()
}

// hashedIDs returns the hashes of the IDs of n nodes, numbered from first on.
func hashedIDs(n, first int) (ids []uint64) {
	for i := range n {
		ids = append(ids, peerprotocol.HashPoint(fmt.Sprint("s-", first+i)))
	}
	return ids
}
