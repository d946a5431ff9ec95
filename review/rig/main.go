// Command rig plays one case of the review: it starts the ingresses of a small deployment by the command of the deploy file, stands in for
// their clients, backends and discovery on loopback addresses, and checks one rule. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// result is what a case found.
type result struct {
	broken   int    // how often the rule was broken
	summary  string // one line
	unusable string // why the run can't be judged; empty: it can
}

var cases = map[string]func(f *fleet, trouble bool) result{}

// The ingresses are ended with the thread that started them (Pdeathsig), which therefore has to be the main thread.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, folder string) (code int) {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.flush()
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(tmp)
	f := &fleet{root: root, tmp: tmp, rec: rec}
	go f.measureLateness()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() { // the ingresses end with this process
		<-ended
		rec.flush()
		os.RemoveAll(tmp)
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %t", name, trouble)
	defer func() {
		p := recover()
		f.stop()
		if p == nil {
			return
		}
		why, ok := p.(cannotRun)
		if !ok {
			panic(p)
		}
		rec.log("can't run: %s", why.why)
		fmt.Println("can't run:", why.why)
		code = 2
	}()
	res := run(f, trouble)
	if f.crashed.Load() {
		res.broken++
		res.summary += "; an ingress ended by itself"
	}
	rec.log("this program's own waits were up to %v late", time.Duration(f.late.Load()).Round(time.Millisecond))
	rec.log("%s", res.summary)
	fmt.Println(res.summary)
	switch {
	case res.broken > 0 && res.unusable == "":
		return 1
	case res.unusable != "":
		rec.log("not judged: %s", res.unusable)
		fmt.Println("not judged:", res.unusable)
		return 2
	}
	return 0
}
