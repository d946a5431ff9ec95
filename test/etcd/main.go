// Command etcdserver is a real etcd of one member for the project's tests, on loopback. It is a module of its own so that the
// server's many dependencies stay out of the project's.
package main

import (
	"flag"
	"fmt"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"go.etcd.io/etcd/server/v3/embed"
)

func main() {
	dir := flag.String("dir", "", "data folder")
	client := flag.String("client", "http://127.0.0.1:2379", "where clients connect")
	peer := flag.String("peer", "http://127.0.0.1:2380", "where members would")
	flag.Parse()
	if err := run(*dir, *client, *peer); err != nil {
		fmt.Fprintln(os.Stderr, "etcdserver:", err)
		os.Exit(1)
	}
}

func run(dir, client, peer string) error {
	c, err := url.Parse(client)
	if err != nil {
		return err
	}
	p, err := url.Parse(peer)
	if err != nil {
		return err
	}
	cfg := embed.NewConfig()
	cfg.Dir, cfg.LogLevel = dir, "error"
	cfg.ListenClientUrls, cfg.AdvertiseClientUrls = []url.URL{*c}, []url.URL{*c}
	cfg.ListenPeerUrls, cfg.AdvertisePeerUrls = []url.URL{*p}, []url.URL{*p}
	cfg.InitialCluster = cfg.InitialClusterFromName(cfg.Name)
	cfg.UnsafeNoFsync = true
	e, err := embed.StartEtcd(cfg)
	if err != nil {
		return err
	}
	defer e.Close()
	select {
	case <-e.Server.ReadyNotify():
		fmt.Println("ready")
	case err := <-e.Err():
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
		return nil
	case err := <-e.Err():
		return err
	}
}
