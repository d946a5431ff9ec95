package agent

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"eiderspread/internal/base/mutualtls"
	"eiderspread/internal/base/operatorconfig"
	"eiderspread/internal/membership/etcdsource"
	"eiderspread/internal/membership/merge"
)

// The sources' names, in configurations, statuses and state files.
const (
	etcdName   = "etcd"
	rosterName = "roster"
)

const (
	minMS, maxMS = 1, 3.6e6 // bounds of all times in the file
	// minStaleness is how often etcd must be asked for progress before its silence makes it stale: one answer may be lost.
	minStaleness = 3
)

// File is the operator's file. deploy/etcd.toml has all keys, with their meaning and defaults; times are in ms.
type File struct {
	Listen         string                         `toml:"listen"`
	Status         string                         `toml:"status"` // empty: not served
	Roster         string                         `toml:"roster"` // empty: etcd alone
	State          string                         `toml:"state"`  // the state file's path; empty: none
	StartTimeoutMS float64                        `toml:"start_ms"`
	Endpoints      []string                       `toml:"endpoints"`
	Prefix         string                         `toml:"prefix"`
	User           string                         `toml:"user"`
	PasswordFile   string                         `toml:"password_file"`
	TLS            struct{ Cert, Key, CA string } `toml:"tls"`
	ProgressMS     float64                        `toml:"progress_ms"`
	StaleMS        float64                        `toml:"stale_ms"`
	RosterStaleMS  float64                        `toml:"roster_stale_ms"`
	OrphanMS       float64                        `toml:"orphan_ms"`
	TimeoutMS      float64                        `toml:"timeout_ms"`
	MaxRetryMS     float64                        `toml:"retry_ms"`
	FlapMS         float64                        `toml:"flap_ms"`
	MaxFlapDelayMS float64                        `toml:"flap_most_ms"`
}

// Config is a valid File.
type Config struct {
	Listen, Status, Roster, State string

	StartTimeoutS float64 // how long a start waits for all sources, in s, before it serves by those that are current
	Etcd          etcdsource.Config
	Merge         merge.Config
}

// ReadFile reads and validates the operator's file and all that it names. The error, of one line, names the file and the key.
func ReadFile(path string) (Config, error) {
	f := File{ProgressMS: 500, StaleMS: 2000, RosterStaleMS: 5000, OrphanMS: 10000, TimeoutMS: 2000, MaxRetryMS: 2000, FlapMS: 60000,
		MaxFlapDelayMS: 30000, StartTimeoutMS: 3000}
	if err := operatorconfig.Decode(path, &f); err != nil {
		return Config{}, err
	}
	cfg, err := f.config()
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// config validates the file and reads what it names.
func (f File) config() (Config, error) {
	cfg := Config{Listen: f.Listen, Status: f.Status, Roster: f.Roster, State: f.State, StartTimeoutS: f.StartTimeoutMS / 1e3,
		Etcd: etcdsource.Config{Endpoints: f.Endpoints, Prefix: f.Prefix, User: f.User, ProgressInterval: milliseconds(f.ProgressMS),
			ReadTimeout: milliseconds(f.TimeoutMS), MaxRetryDelay: milliseconds(f.MaxRetryMS)},
		Merge: merge.Config{StaleAfterS: map[string]float64{etcdName: f.StaleMS / 1e3}, OrphanAfterS: f.OrphanMS / 1e3, FlapWindowS: f.FlapMS / 1e3,
			MaxFlapDelayS: f.MaxFlapDelayMS / 1e3}}
	if f.Roster != "" {
		cfg.Merge.StaleAfterS[rosterName] = f.RosterStaleMS / 1e3
	}
	if err := f.validate(); err != nil {
		return cfg, err
	}
	if f.PasswordFile != "" {
		text, err := os.ReadFile(f.PasswordFile)
		if err != nil {
			return cfg, fmt.Errorf("password_file: %w", err)
		}
		cfg.Etcd.Password = strings.TrimSpace(string(text))
	}
	if f.State != "" {
		if err := checkStateFile(f.State); err != nil {
			return cfg, err
		}
	}
	var err error
	if cfg.Etcd.TLS, err = mutualtls.Identity(f.TLS).Config(); err != nil {
		return cfg, fmt.Errorf("tls: %w", err)
	}
	return cfg, nil
}

// validate checks the values that need no other file.
func (f File) validate() error {
	for key, addr := range map[string]string{"listen": f.Listen, "status": f.Status, "roster": f.Roster} {
		if _, err := netip.ParseAddrPort(addr); err != nil && (addr != "" || key == "listen") {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	for key, ms := range map[string]float64{"progress_ms": f.ProgressMS, "stale_ms": f.StaleMS, "roster_stale_ms": f.RosterStaleMS,
		"orphan_ms": f.OrphanMS, "timeout_ms": f.TimeoutMS, "retry_ms": f.MaxRetryMS, "flap_ms": f.FlapMS, "flap_most_ms": f.MaxFlapDelayMS,
		"start_ms": f.StartTimeoutMS} {
		if !(ms >= minMS && ms <= maxMS) { // NaN is neither
			return fmt.Errorf("%s must be %d to %.0f", key, minMS, maxMS)
		}
	}
	switch {
	case len(f.Endpoints) == 0:
		return errors.New("endpoints are missing")
	case !strings.HasSuffix(f.Prefix, "/"):
		return errors.New("prefix must end with /")
	case f.StaleMS < minStaleness*f.ProgressMS:
		return errors.New("stale_ms must be three times progress_ms at least")
	}
	return nil
}

// checkStateFile finds out whether a state file can be read, if it exists, and written.
func checkStateFile(path string) error {
	if _, err := loadState(path); err != nil {
		return err
	}
	dir := filepath.Dir(path)
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return fmt.Errorf("state: %s is no folder", dir)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
