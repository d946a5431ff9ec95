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

// The names of the sources in configurations, statuses, logs and state files.
const (
	etcdName      = "etcd"
	discoveryName = "roster"
)

const (
	minMS, maxMS = 1, 3.6e6 // bounds, in ms, of all times in the file
	// minStaleness is the minimum ratio of stale_ms to progress_ms: one lost progress answer must not make etcd stale.
	minStaleness = 3
)

// File is the agent's configuration file. deploy/etcd.toml documents all keys with their defaults. Times are in ms.
type File struct {
	Listen           string                         `toml:"listen"`
	Status           string                         `toml:"status"` // empty: no status page
	Discovery        string                         `toml:"roster"` // address of the discovery service; empty: etcd is the only source
	State            string                         `toml:"state"`  // path of the state file; empty: none
	StartTimeoutMS   float64                        `toml:"start_ms"`
	Endpoints        []string                       `toml:"endpoints"`
	Prefix           string                         `toml:"prefix"`
	User             string                         `toml:"user"`
	PasswordFile     string                         `toml:"password_file"`
	TLS              struct{ Cert, Key, CA string } `toml:"tls"`
	ProgressMS       float64                        `toml:"progress_ms"`
	StaleMS          float64                        `toml:"stale_ms"`
	DiscoveryStaleMS float64                        `toml:"roster_stale_ms"`
	OrphanMS         float64                        `toml:"orphan_ms"`
	TimeoutMS        float64                        `toml:"timeout_ms"`
	MaxRetryMS       float64                        `toml:"retry_ms"`
	FlapMS           float64                        `toml:"flap_ms"`
	MaxFlapDelayMS   float64                        `toml:"flap_most_ms"`
}

// Config is the validated form of a File, with the files that it names loaded.
type Config struct {
	Listen, Status, Discovery, State string

	StartTimeoutS float64 // how long, in s, a start waits for all sources before it serves the list of those that are current
	Etcd          etcdsource.Config
	Merge         merge.Config
}

// ReadFile reads and validates the configuration file and all files that it names. The error is a single line that names the file and the
// key.
func ReadFile(path string) (Config, error) {
	f := File{ProgressMS: 500, StaleMS: 2000, DiscoveryStaleMS: 5000, OrphanMS: 10000, TimeoutMS: 2000, MaxRetryMS: 2000, FlapMS: 60000,
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

// config validates the file and reads the files that it names.
func (f File) config() (Config, error) {
	cfg := Config{Listen: f.Listen, Status: f.Status, Discovery: f.Discovery, State: f.State, StartTimeoutS: f.StartTimeoutMS / 1e3,
		Etcd: etcdsource.Config{Endpoints: f.Endpoints, Prefix: f.Prefix, User: f.User, ProgressInterval: milliseconds(f.ProgressMS),
			ReadTimeout: milliseconds(f.TimeoutMS), MaxRetryDelay: milliseconds(f.MaxRetryMS)},
		Merge: merge.Config{StaleAfterS: map[string]float64{etcdName: f.StaleMS / 1e3}, MarksIDs: map[string]bool{etcdName: true},
			OrphanAfterS: f.OrphanMS / 1e3, FlapWindowS: f.FlapMS / 1e3, MaxFlapDelayS: f.MaxFlapDelayMS / 1e3}}
	if f.Discovery != "" {
		cfg.Merge.StaleAfterS[discoveryName] = f.DiscoveryStaleMS / 1e3
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

// validate checks the values that can be checked without reading another file.
func (f File) validate() error {
	for key, addr := range map[string]string{"listen": f.Listen, "status": f.Status, "roster": f.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil && (addr != "" || key == "listen") {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	for key, ms := range map[string]float64{"progress_ms": f.ProgressMS, "stale_ms": f.StaleMS, "roster_stale_ms": f.DiscoveryStaleMS,
		"orphan_ms": f.OrphanMS, "timeout_ms": f.TimeoutMS, "retry_ms": f.MaxRetryMS, "flap_ms": f.FlapMS, "flap_most_ms": f.MaxFlapDelayMS,
		"start_ms": f.StartTimeoutMS} {
		if !(ms >= minMS && ms <= maxMS) { // also rejects NaN
			return fmt.Errorf("%s must be %d to %.0f, not %v", key, minMS, maxMS, ms)
		}
	}
	switch {
	case len(f.Endpoints) == 0:
		return errors.New("endpoints must name at least one etcd member")
	case !strings.HasSuffix(f.Prefix, "/"):
		return fmt.Errorf("prefix must end with /, not %q", f.Prefix)
	case f.StaleMS < minStaleness*f.ProgressMS:
		return errors.New("stale_ms must be at least three times progress_ms")
	}
	return nil
}

// checkStateFile returns an error if the state file exists and can't be read, or if its directory does not exist.
func checkStateFile(path string) error {
	if _, err := loadState(path); err != nil {
		return err
	}
	dir := filepath.Dir(path)
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return fmt.Errorf("state: %s is not a directory", dir)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
