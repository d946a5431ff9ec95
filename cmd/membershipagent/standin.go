package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/testbed/etcdstandin"
)

// runStandin runs the project's stand-in for etcd by hand, so that the other commands can be tried with nothing else installed.
func runStandin(ctx context.Context, args []string, out io.Writer) error {
	set := flag.NewFlagSet("standin", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:2379", "addresses of the members, by commas; on loopback")
	file := set.String("file", "", "keep what is committed in this file")
	user := set.String("user", "", "want this user's password of clients")
	password := set.String("password-file", "", "where that password is")
	ttl := set.Duration("token-ttl", 5*time.Minute, "how long a token lasts")
	var id mutualtls.Identity
	set.StringVar(&id.Cert, "cert", "", "certificate of the members: clients then need one of the same authority")
	set.StringVar(&id.Key, "key", "", "its key")
	set.StringVar(&id.CA, "ca", "", "its authority")
	if err := set.Parse(args); err != nil {
		return err
	}
	if set.NArg() != 0 {
		return fmt.Errorf("standin wants flags alone, not %q", set.Arg(0))
	}
	cfg := etcdstandin.Config{Listen: strings.Split(*listen, ","), File: *file, TokenTTL: *ttl}
	for _, a := range cfg.Listen {
		if p, err := netip.ParseAddrPort(a); err != nil || !p.Addr().IsLoopback() {
			return fmt.Errorf("standin listens on loopback addresses alone, not on %q", a)
		}
	}
	if (*user == "") != (*password == "") {
		return fmt.Errorf("user and password-file go together")
	}
	if *user != "" {
		text, err := os.ReadFile(*password)
		if err != nil {
			return err
		}
		cfg.Users = map[string]string{*user: strings.TrimSpace(string(text))}
	}
	var err error
	if cfg.TLS, err = id.Config(); err != nil {
		return err
	}
	c, err := etcdstandin.Open(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a stand-in for etcd, for trials and tests alone, serves at %s from revision %d on\n", strings.Join(c.Addrs(), ", "), c.Head().Revision)
	<-ctx.Done()
	return c.Close()
}
