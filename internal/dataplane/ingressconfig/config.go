// Package ingressconfig reads the platform's configuration of an ingress and the operator's file beside it, and says what of a configuration that
// is read again a running ingress can take over. The platform's names of the keys stand here alone.
package ingressconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"eiderspread/internal/dataplane/settings"
	"eiderspread/internal/membership/discovery"
)

// Config is what an ingress is configured with at its start.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string // address of discovery
	AdminAddr      string // where operators call; empty: nowhere
	Seed           uint64 // of the decider's randomness
	MemoryMB       int    // 0: no limit, and buffers as for DefaultMemoryMB
	MaxDescriptors int    // file descriptors that the process may hold

	PeerListen    netip.AddrPort   // not valid: no peers
	Peers         []netip.AddrPort // by the gateway's number
	PeerBroadcast netip.AddrPort   // reaches all of them; not valid: there is none

	InitialEndpoints discovery.List // until discovery's list has come
	Settings         settings.Settings
	keys             keySet   // of the file
	OperatorConfig   Operator // of the operator's file, if there is one
	FleetMember      bool     // of a fleet, whose planners operators call to cordon a backend

	// Dial makes connections to backends in place of the system's own; nil: none does. Not of the file.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

// DefaultMemoryMB is what buffers are sized for where the configuration has no memory limit.
const DefaultMemoryMB = 192

const defaultMaxDescriptors = 1024

var (
	errNoSettings   = errors.New("settings are missing")
	errConnTimeouts = errors.New("settings: limits.dialTimeoutS and limits.connIdleS must be above 0")
)

// fileConfig is the configuration file as the platform words it; unknown keys are passed over.
type fileConfig struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Console   string `json:"console"`
	Seed      string `json:"seed"` // 16 hex digits
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      discovery.List  `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// Read reads the configuration file. An error names the file and the key.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func parse(text []byte) (Config, error) {
	var f fileConfig
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, err
	}
	keys, err := parseKeySet(text)
	if err != nil {
		return Config{}, err
	}
	c := Config{keys: keys, Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminAddr: f.Console, MemoryMB: f.Limits.MemoryMB,
		MaxDescriptors: f.Limits.Sockets, InitialEndpoints: f.Known}
	if c.MaxDescriptors <= 0 {
		c.MaxDescriptors = defaultMaxDescriptors
	}
	for _, parse := range []func(fileConfig) error{c.parseAddrs, c.parseSettings, c.parsePeers} {
		if err := parse(f); err != nil {
			return c, err
		}
	}
	return c, nil
}

// parseAddrs checks the addresses, which are used as they stand, and the seed.
func (c *Config) parseAddrs(f fileConfig) (err error) {
	for name, addr := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.AdminAddr, err = CheckAdminAddr(f.Console); err != nil {
		return err
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	return nil
}

// parseSettings reads the settings, and checks the endpoint list.
func (c *Config) parseSettings(f fileConfig) (err error) {
	if len(f.Settings) == 0 {
		return errNoSettings
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Settings.DialTimeoutS <= 0 || c.Settings.ConnIdleS <= 0 {
		return errConnTimeouts
	}
	c.InitialEndpoints.Full = true
	if err := c.InitialEndpoints.Validate(); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// parsePeers reads the addresses of the other ingresses, if the settings allow messages to them.
func (c *Config) parsePeers(f fileConfig) (err error) {
	if !c.Settings.PeerMessages {
		return nil
	}
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	if len(f.Peers) != c.Settings.Gateways {
		return fmt.Errorf("peers: %d addresses given for %d ingresses", len(f.Peers), c.Settings.Gateways)
	}
	for i, text := range f.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return fmt.Errorf("peers: number %d: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if f.PeersAll != "" {
		if c.PeerBroadcast, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return fmt.Errorf("peers_all: %w", err)
		}
	}
	return nil
}

// CheckAdminAddr checks the address at which operators call, and returns it; empty is none.
func CheckAdminAddr(addr string) (string, error) {
	if addr == "" {
		return "", nil
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", fmt.Errorf("console: %w", err)
	}
	return addr, nil
}
