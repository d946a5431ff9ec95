package main

import (
	"context"
	"errors"
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

// runStandin runs the project's stand-in for etcd until ctx ends, so that the other commands can be tried with nothing else installed.
func runStandin(ctx context.Context, args []string, out io.Writer) error {
	cfg, err := parseStandinFlags(args)
	if err != nil {
		return err
	}
	cluster, err := etcdstandin.Open(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a stand-in for etcd, for trials and tests alone, serves at %s from revision %d on\n",
		strings.Join(cluster.Addrs(), ", "), cluster.Head().Revision)
	<-ctx.Done()
	return cluster.Close()
}

// parseStandinFlags reads the flags and the files that they name.
func parseStandinFlags(args []string) (etcdstandin.Config, error) {
	var cfg etcdstandin.Config
	var identity mutualtls.Identity
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:2379", "addresses of the members, by commas; on loopback")
	flags.StringVar(&cfg.File, "file", "", "keep what is committed in this file")
	user := flags.String("user", "", "want this user's password of clients")
	passwordFile := flags.String("password-file", "", "where that password is")
	flags.DurationVar(&cfg.TokenTTL, "token-ttl", 5*time.Minute, "how long a token lasts")
	flags.StringVar(&identity.Cert, "cert", "", "certificate of the members: clients then need one of the same authority")
	flags.StringVar(&identity.Key, "key", "", "its key")
	flags.StringVar(&identity.CA, "ca", "", "its authority")
	if err := flags.Parse(args); err != nil {
		return cfg, err
	}
	if flags.NArg() != 0 {
		return cfg, fmt.Errorf("standin wants flags alone, not %q", flags.Arg(0))
	}
	cfg.Listen = strings.Split(*listen, ",")
	for _, addr := range cfg.Listen {
		if p, err := netip.ParseAddrPort(addr); err != nil || !p.Addr().IsLoopback() {
			return cfg, fmt.Errorf("standin listens on loopback addresses alone, not on %q", addr)
		}
	}
	if (*user == "") != (*passwordFile == "") {
		return cfg, errors.New("user and password-file go together")
	}
	if *user != "" {
		text, err := os.ReadFile(*passwordFile)
		if err != nil {
			return cfg, err
		}
		cfg.Users = map[string]string{*user: strings.TrimSpace(string(text))}
	}
	var err error
	cfg.TLS, err = identity.Config()
	return cfg, err
}
