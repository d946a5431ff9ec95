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

// printSubsets works out, for fleets of given sizes, what each way of choosing preferred nodes does.
func printSubsets(args []string, w io.Writer) error {
	set := flag.NewFlagSet("subsets", flag.ContinueOnError)
	fleets := set.String("fleets", "4/9,12/24,80/48,80/180,300/200,1000/2000", "ingresses/nodes, apart by commas")
	sharers := set.Int("sharers", 24, "how many ingresses are to prefer a node, about")
	least := set.Int("least", 8, "nodes that an ingress prefers, at least")
	skew := set.Float64("skew", 1, "how uneven the ingresses' traffic is: 0 for even, 1 as an exponential draw")
	seed := set.Uint64("seed", 1, "of the draw of traffic")
	if err := set.Parse(args); err != nil {
		return err
	}
	if *sharers < 1 || *least < 1 || *skew < 0 || set.NArg() > 0 {
		return fmt.Errorf("subsets wants sharers and least from 1 on, skew from 0 on, and nothing else")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "ingresses/nodes\tpreferred\tway\tload p99/mean\tp1/mean\tbest possible\tmoved by 2%%\tby a list of 10 fewer\tunasked\ttime\n")
	for _, s := range strings.Split(*fleets, ",") {
		a, b, _ := strings.Cut(strings.TrimSpace(s), "/")
		gateways, err1 := strconv.Atoi(a)
		nodes, err2 := strconv.Atoi(b)
		if err1 != nil || err2 != nil || gateways < 1 || nodes < 1 || gateways > 2000 || nodes > 5000 {
			return fmt.Errorf("subsets: %q is no fleet of up to 2000 ingresses and 5000 nodes", s)
		}
		rng := rand.New(rand.NewPCG(*seed, 8))
		traffic := make([]float64, gateways)
		for i := range traffic {
			traffic[i] = math.Pow(0.05+rng.ExpFloat64(), *skew)
		}
		ids := points(nodes, 0)
		replaced := append(points(max(nodes/50, 1), 1e6), ids[max(nodes/50, 1):]...)
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
		best := max(1, most/float64(size)/(sum/float64(nodes))) // the busiest ingress spreads over size nodes and no more
		for _, way := range []struct {
			name string
			f    subset.Strategy
		}{{"rendezvous", subset.Rendezvous}, {"bounded", subset.BoundedRendezvous}, {"rounds", subset.ShuffledRounds}} {
			if way.name == "bounded" && gateways*nodes > 100000 {
				continue // each ingress works all others' choices out
			}
			began := time.Now()
			way.f(ids, gateways-1, gateways, size)
			took := time.Since(began)
			f := subset.Measure(way.f, ids, traffic, size, replaced, other)
			fmt.Fprintf(t, "%d/%d\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.1f%%\t%.1f%%\t%d\t%v\n", gateways, nodes, size, way.name, f.P99Load, f.P1Load, best, 100*f.Churn, 100*f.Divergence,
				f.Unselected, took.Round(time.Microsecond))
		}
	}
	return t.Flush()
}

// points are the hashes of so many nodes' ids.
func points(n, from int) (ids []uint64) {
	for i := range n {
		ids = append(ids, peerprotocol.HashPoint(fmt.Sprint("s-", from+i)))
	}
	return ids
}
