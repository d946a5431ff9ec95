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

// runStandin runs the project's stand-in for etcd until ctx ends, so that the other commands can be tried without an etcd installation.
func runStandin(ctx context.Context, args []string, out io.Writer) error {
	cfg, err := parseStandinFlags(args)
	if err != nil {
		return err
	}
	cluster, err := etcdstandin.Open(cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "stand-in for etcd, for trials and tests only, serving at %s from revision %d on\n",
		strings.Join(cluster.Addrs(), ", "), cluster.Head().Revision)
	<-ctx.Done()
	return cluster.Close()
}

// parseStandinFlags parses the flags and reads the files that they name.
func parseStandinFlags(args []string) (etcdstandin.Config, error) {
	var cfg etcdstandin.Config
	var identity mutualtls.Identity
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:2379", "loopback addresses of the members, separated by commas")
	flags.StringVar(&cfg.File, "file", "", "file that stores the committed changes across restarts; empty: none")
	user := flags.String("user", "", "user whose password clients must send; empty: no authentication")
	passwordFile := flags.String("password-file", "", "file that contains the password of -user")
	flags.DurationVar(&cfg.TokenTTL, "token-ttl", 5*time.Minute, "lifetime of an authentication token")
	flags.StringVar(&identity.Cert, "cert", "", "certificate of the members; clients then need a certificate of the same CA")
	flags.StringVar(&identity.Key, "key", "", "private key of -cert")
	flags.StringVar(&identity.CA, "ca", "", "CA certificate of the members and clients")
	if err := flags.Parse(args); err != nil {
		return cfg, err
	}
	if flags.NArg() != 0 {
		return cfg, fmt.Errorf("standin: expected only flags, got argument %q", flags.Arg(0))
	}
	cfg.Listen = strings.Split(*listen, ",")
	for _, addr := range cfg.Listen {
		if p, err := netip.ParseAddrPort(addr); err != nil || !p.Addr().IsLoopback() {
			return cfg, fmt.Errorf("standin: listen address must be a loopback address with a port, not %q", addr)
		}
	}
	if (*user == "") != (*passwordFile == "") {
		return cfg, errors.New("standin: -user and -password-file must be set together")
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
