package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"eiderspread/internal/membership/agent"
)

// leaseTTLS is the TTL, in s, of the lease of a mark set with -hold. The mark of a killed command disappears after this time.
const leaseTTLS = 5

// drainDir is the key directory of drain marks, by node ID, under the agent's prefix. docs/etcd-schema.md describes their form.
const drainDir = "drain/"

// nodesCommand is a run of one of the nodes commands.
type nodesCommand struct {
	client *clientv3.Client
	cfg    agent.Config
	out    io.Writer
	leased bool   // -hold
	reason string // -why
}

// runNodes runs a nodes command. args are the agent's configuration file, the command and the command's arguments.
func runNodes(ctx context.Context, args []string, out io.Writer) error {
	if len(args) < 2 {
		return fmt.Errorf("nodes: expected a configuration file and a command, got %d arguments", len(args))
	}
	file, command := args[0], args[1]
	c := nodesCommand{out: out}
	var err error
	if c.cfg, err = agent.ReadFile(file); err != nil {
		return err
	}
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.BoolVar(&c.leased, "hold", false, "keep the mark only while this command runs")
	flags.StringVar(&c.reason, "why", "", "reason for the drain, shown by list and watch")
	if err := flags.Parse(args[2:]); err != nil {
		return err
	}
	if c.client, err = c.cfg.Etcd.NewClient(ctx); err != nil {
		return err
	}
	defer c.client.Close()
	if command == "list" || command == "watch" {
		return c.list(ctx, command == "watch")
	}
	id := flags.Arg(0)
	if flags.NArg() != 1 || id == "" || strings.ContainsAny(id, "/ ") {
		return fmt.Errorf("%s: expected one node id without / or space, got %q", command, flags.Args())
	}
	switch command {
	case "drain":
		return c.drain(ctx, id)
	case "undrain":
		return c.undrain(ctx, id)
	}
	return fmt.Errorf("unknown command %q", command)
}

// drainMark is the value of a drain mark.
type drainMark struct {
	At     string `json:"at"` // RFC 3339
	Leased bool   `json:"held"`
	Reason string `json:"why"`
}

// drain sets the drain mark of a node. It fails if the node is already marked, so that one operator can't overwrite, and later remove, the
// mark of another. A leased mark is kept until ctx ends and then removed.
func (c nodesCommand) drain(ctx context.Context, id string) error {
	mark, err := json.Marshal(drainMark{At: time.Now().UTC().Format(time.RFC3339), Leased: c.leased, Reason: c.reason})
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Etcd.ReadTimeout)
	defer cancel()
	var options []clientv3.OpOption
	var lease clientv3.LeaseID
	if c.leased {
		granted, err := c.client.Grant(callCtx, leaseTTLS)
		if err != nil {
			return err
		}
		lease = granted.ID
		options = append(options, clientv3.WithLease(lease))
	}
	key := c.markKey(id)
	r, err := c.client.Txn(callCtx).If(clientv3.Compare(clientv3.CreateRevision(key), "=", 0)).
		Then(clientv3.OpPut(key, string(mark), options...)).Else(clientv3.OpGet(key)).Commit()
	if err != nil {
		return err
	}
	if !r.Succeeded {
		return fmt.Errorf("%s is marked already: %s", id, r.Responses[0].GetResponseRange().Kvs[0].Value)
	}
	fmt.Fprintf(c.out, "%s drains from revision %d on\n", id, r.Header.Revision)
	if !c.leased {
		return nil
	}
	return c.keepLease(ctx, lease)
}

// keepLease renews a lease until ctx ends and then revokes it. It fails if the lease is lost before that.
func (c nodesCommand) keepLease(ctx context.Context, lease clientv3.LeaseID) error {
	alive, err := c.client.KeepAlive(ctx, lease)
	if err != nil {
		return err
	}
	for range alive {
	}
	if ctx.Err() == nil {
		return errors.New("the lease of the drain mark was lost")
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Etcd.ReadTimeout)
	defer cancel()
	_, err = c.client.Revoke(callCtx, lease)
	return err
}

// undrain removes a node's drain mark. It fails if the mark changes between the read and the removal.
func (c nodesCommand) undrain(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Etcd.ReadTimeout)
	defer cancel()
	key := c.markKey(id)
	mark, err := c.client.Get(ctx, key)
	if err != nil {
		return err
	}
	if len(mark.Kvs) == 0 {
		return fmt.Errorf("%s is not marked", id)
	}
	unchanged := clientv3.Compare(clientv3.ModRevision(key), "=", mark.Kvs[0].ModRevision)
	r, err := c.client.Txn(ctx).If(unchanged).Then(clientv3.OpDelete(key)).Commit()
	if err != nil {
		return err
	}
	if !r.Succeeded {
		return fmt.Errorf("the mark on %s changed during the command", id)
	}
	fmt.Fprintf(c.out, "%s no longer drains from revision %d on\n", id, r.Header.Revision)
	return nil
}

// list prints the keys and values under the prefix and, with follow, their changes until ctx ends.
func (c nodesCommand) list(ctx context.Context, follow bool) error {
	prefix := c.cfg.Etcd.Prefix
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Etcd.ReadTimeout)
	defer cancel()
	all, err := c.client.Get(callCtx, prefix, clientv3.WithPrefix(), clientv3.WithSort(clientv3.SortByKey, clientv3.SortAscend))
	if err != nil {
		return err
	}
	for _, kv := range all.Kvs {
		fmt.Fprintf(c.out, "%s %s (revision %d)\n", strings.TrimPrefix(string(kv.Key), prefix), kv.Value, kv.ModRevision)
	}
	if !follow {
		return nil
	}
	next := clientv3.WithRev(all.Header.Revision + 1)
	for r := range c.client.Watch(clientv3.WithRequireLeader(ctx), prefix, clientv3.WithPrefix(), next) {
		if r.Err() != nil {
			return r.Err()
		}
		for _, e := range r.Events {
			fmt.Fprintf(c.out, "%s %s %s (revision %d)\n", e.Type, strings.TrimPrefix(string(e.Kv.Key), prefix), e.Kv.Value, e.Kv.ModRevision)
		}
	}
	return ctx.Err()
}

func (c nodesCommand) markKey(id string) string { return c.cfg.Etcd.Prefix + drainDir + id }
