// Command membershipagent joins roster and etcd into one list of zone nodes and serves it in the roster's protocol; its
// nodes commands write to etcd, and standin is an etcd to try them with.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"eiderspread/internal/membership/agent"
)

const usage = `usage: membershipagent COMMAND ...
  run [-check] FILE                  the agent, by its operator's file (deploy/etcd.toml)
  nodes FILE list                    the nodes in etcd, with their marks
  nodes FILE drain [-hold] [-why W] ID   mark a node as draining; with -hold only while this command runs
  nodes FILE undrain ID              take the mark back
  nodes FILE watch                   what changes, as it does
  lab [flags]                        a fleet on the stand-in while etcd breaks, with an audit; lab -h lists the flags
  standin [flags]                    a stand-in for etcd on loopback, to try the others with; standin -h lists the flags
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "membershipagent:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("no command given")
	}
	switch name, rest := args[0], args[1:]; name {
	case "run":
		set := flag.NewFlagSet(name, flag.ContinueOnError)
		check := set.Bool("check", false, "check the file and all that it names, and end")
		if err := set.Parse(rest); err != nil {
			return err
		}
		if set.NArg() != 1 {
			return fmt.Errorf("run wants one file")
		}
		cfg, err := agent.ReadFile(set.Arg(0))
		if err != nil || *check {
			return err
		}
		log := slog.New(slog.NewTextHandler(os.Stderr, nil))
		a, err := agent.Open(cfg, log)
		if err != nil {
			return err
		}
		hup := make(chan os.Signal, 1) // one that waits stands for all
		signal.Notify(hup, syscall.SIGHUP)
		defer signal.Stop(hup)
		go reloadOn(ctx, hup, set.Arg(0), a, log)
		return a.Run(ctx)
	case "nodes":
		if len(rest) < 2 {
			return fmt.Errorf("nodes wants a file and a command")
		}
		return runNodes(ctx, rest[0], rest[1], rest[2:], out)
	case "lab":
		return runLab(rest, out)
	case "standin":
		return runStandin(ctx, rest, out)
	case "help", "-h", "--help":
		fmt.Fprint(out, usage)
		return nil
	default:
		fmt.Fprint(os.Stderr, usage)
		return fmt.Errorf("unknown command %q", name)
	}
}

// reloadOn reads the agent's file again at each signal. What can't be read is logged, and the agent goes on as it is.
func reloadOn(ctx context.Context, hup <-chan os.Signal, file string, a *agent.Agent, log *slog.Logger) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		cfg, err := agent.ReadFile(file)
		if err != nil {
			log.Error("file not taken over", "error", err)
			continue
		}
		log.Info("file read again", "endpoints", cfg.Etcd.Endpoints)
		if a.Reload(cfg) {
			log.Warn("of the new file only endpoints, user, password and certificates are taken over before a restart")
		}
	}
}

// heldMarkTTLS is how long a held mark outlives the command that holds it.
const heldMarkTTLS = 5

func runNodes(ctx context.Context, file, command string, args []string, out io.Writer) error {
	cfg, err := agent.ReadFile(file)
	if err != nil {
		return err
	}
	set := flag.NewFlagSet(command, flag.ContinueOnError)
	hold := set.Bool("hold", false, "keep the mark only while this command runs")
	reason := set.String("why", "", "told to whoever lists the nodes")
	if err := set.Parse(args); err != nil {
		return err
	}
	client, err := cfg.Etcd.NewClient(ctx)
	if err != nil {
		return err
	}
	defer client.Close()
	if command == "list" || command == "watch" {
		return listNodes(ctx, cfg, client, command == "watch", out)
	}
	if set.NArg() != 1 || set.Arg(0) == "" || strings.ContainsAny(set.Arg(0), "/ ") {
		return fmt.Errorf("%s wants the id of one node", command)
	}
	id := set.Arg(0)
	key := cfg.Etcd.Prefix + "drain/" + id
	readCtx, cancel := context.WithTimeout(ctx, cfg.Etcd.ReadTimeout)
	defer cancel()
	switch command {
	case "drain":
		mark, err := json.Marshal(map[string]any{"at": time.Now().UTC().Format(time.RFC3339), "why": *reason, "held": *hold})
		if err != nil {
			return err
		}
		var opts []clientv3.OpOption
		var lease *clientv3.LeaseGrantResponse
		if *hold {
			if lease, err = client.Grant(readCtx, heldMarkTTLS); err != nil {
				return err
			}
			opts = append(opts, clientv3.WithLease(lease.ID))
		}
		// Only if there is no mark yet: two tools must not take each other's back.
		r, err := client.Txn(readCtx).If(clientv3.Compare(clientv3.CreateRevision(key), "=", 0)).
			Then(clientv3.OpPut(key, string(mark), opts...)).Else(clientv3.OpGet(key)).Commit()
		if err != nil {
			return err
		}
		if !r.Succeeded {
			return fmt.Errorf("%s is marked already: %s", id, r.Responses[0].GetResponseRange().Kvs[0].Value)
		}
		fmt.Fprintf(out, "%s drains from revision %d on\n", id, r.Header.Revision)
		if !*hold {
			return nil
		}
		alive, err := client.KeepAlive(ctx, lease.ID)
		if err != nil {
			return err
		}
		for range alive {
		}
		if ctx.Err() == nil {
			return fmt.Errorf("the lease of the mark is lost")
		}
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), cfg.Etcd.ReadTimeout)
		defer cancel()
		_, err = client.Revoke(end, lease.ID)
		return err
	case "undrain":
		g, err := client.Get(readCtx, key)
		if err != nil {
			return err
		}
		if len(g.Kvs) == 0 {
			return fmt.Errorf("%s is not marked", id)
		}
		r, err := client.Txn(readCtx).If(clientv3.Compare(clientv3.ModRevision(key), "=", g.Kvs[0].ModRevision)).Then(clientv3.OpDelete(key)).Commit()
		if err != nil {
			return err
		}
		if !r.Succeeded {
			return fmt.Errorf("the mark on %s has changed meanwhile", id)
		}
		fmt.Fprintf(out, "%s drains no more from revision %d on\n", id, r.Header.Revision)
		return nil
	}
	return fmt.Errorf("unknown command %q", command)
}

// listNodes prints what stands under the prefix, and with follow what changes.
func listNodes(ctx context.Context, cfg agent.Config, client *clientv3.Client, follow bool, out io.Writer) error {
	readCtx, cancel := context.WithTimeout(ctx, cfg.Etcd.ReadTimeout)
	defer cancel()
	g, err := client.Get(readCtx, cfg.Etcd.Prefix, clientv3.WithPrefix(), clientv3.WithSort(clientv3.SortByKey, clientv3.SortAscend))
	if err != nil {
		return err
	}
	for _, kv := range g.Kvs {
		fmt.Fprintf(out, "%s %s (revision %d)\n", strings.TrimPrefix(string(kv.Key), cfg.Etcd.Prefix), kv.Value, kv.ModRevision)
	}
	if !follow {
		return nil
	}
	for r := range client.Watch(clientv3.WithRequireLeader(ctx), cfg.Etcd.Prefix, clientv3.WithPrefix(), clientv3.WithRev(g.Header.Revision+1)) {
		if r.Err() != nil {
			return r.Err()
		}
		for _, e := range r.Events {
			fmt.Fprintf(out, "%s %s %s (revision %d)\n", e.Type, strings.TrimPrefix(string(e.Kv.Key), cfg.Etcd.Prefix), e.Kv.Value, e.Kv.ModRevision)
		}
	}
	return ctx.Err()
}
