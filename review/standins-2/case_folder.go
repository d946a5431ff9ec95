package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["folder"] = runFolder }

// folderLen is the length of $TMPDIR's path in bytes.
const folderLen = 96

// runFolder: an ingress whose $TMPDIR has a path of folderLen bytes. With the disruption a second process is started to replace the first.
func runFolder(r *rig) (bool, error) {
	_, entries := r.startBackends(8, 30*time.Millisecond)
	d := r.newDiscovery(entries)
	ingresses := r.newIngresses(2, d.addr, d.list())
	in := ingresses[0]
	in.dir = filepath.Join(r.tmp, "rayon-quebec", "n0")
	in.dir = filepath.Join(in.dir, strings.Repeat("i", folderLen-len(in.dir)-1))
	must(os.MkdirAll(in.dir, 0o700))
	r.note("TMPDIR of n0 has %d bytes", len(in.dir))
	old := in.start()
	ingresses[1].start()
	for _, in := range ingresses {
		if err := in.awaitPong(10 * time.Second); err != nil {
			return false, err
		}
	}
	if err := in.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	stop := r.traffic(ingresses, 8)
	time.Sleep(3 * time.Second)
	crashed, yes := false, true
	if r.trouble {
		next := in.start()
		yes = in.awaitReady(6*time.Second) == nil
		crashed = next.ended()
		// The platform goes on as its page says.
		old.signal(syscall.SIGTERM)
		select {
		case <-old.done:
		case <-time.After(3700 * time.Millisecond):
			old.signal(syscall.SIGKILL)
		}
		time.Sleep(3 * time.Second)
		if c, err := dial(in.listen); err != nil {
			r.note("n0 takes no connection 3 s later: %v", err)
		} else {
			c.Close()
		}
	}
	counts := stop()
	fmt.Printf("answers: %v; the new process said yes: %v, and ended: %v\n", counts, yes, crashed)
	return crashed, nil
}
