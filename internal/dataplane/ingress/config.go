package ingress

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"time"

	"eiderspread/internal/base/settings"
)

// Config is what an ingress is told at its start.
type Config struct {
	Name           string
	Listen         string
	Discovery      string
	AdminAddr      string // where operators call; empty: nowhere
	Seed           uint64
	MemoryMB       int
	MaxDescriptors int // file descriptors that the process may hold

	PeerListen    netip.AddrPort // not valid: no peers
	Peers         []netip.AddrPort
	PeerBroadcast netip.AddrPort

	InitialEndpoints targets
	Settings         settings.Settings
	keys             keySet         // of the file
	OperatorConfig   OperatorConfig // of the operator's file, if there is one
	FleetMember      bool           // of a fleet: its planners are told what is held

	// Dial makes connections to backends in place of the system's own; nil: none does. Not of the file.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

const (
	defaultMaxDescriptors = 1024
	defaultMemoryMB       = 192
)

// NeedsRestart tells whether more differs than what a running ingress takes over from a configuration
// that is read again, or than what is new with each start.
func (c Config) NeedsRestart(from Config) bool {
	c.Discovery, c.InitialEndpoints, c.Seed, c.keys = from.Discovery, from.InitialEndpoints, from.Seed, from.keys
	c.Dial, from.Dial = nil, nil
	c.Settings.Classes, c.Settings.MaxAttempts = from.Settings.Classes, from.Settings.MaxAttempts
	return !reflect.DeepEqual(c, from)
}

// CheckAdminAddr checks the address of the operators' door; empty is none.
func CheckAdminAddr(addr string) (string, error) {
	if addr == "" {
		return "", nil
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", fmt.Errorf("console: %w", err)
	}
	return addr, nil
}

// ReadConfig reads the configuration file.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func parseConfig(text []byte) (Config, error) {
	var f struct {
		Name, Listen, Discovery, Console, Seed string
		Limits                                 struct {
			MemoryMB int `json:"memory_mb"`
			Sockets  int `json:"sockets"`
		}
		PeerListen string   `json:"peer_listen"`
		Peers      []string `json:"peers"`
		PeersAll   string   `json:"peers_all"`
		Known      targets
		Settings   json.RawMessage
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, err
	}
	shape, err := parseKeySet(text)
	if err != nil {
		return Config{}, err
	}
	c := Config{keys: shape, Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminAddr: f.Console, MemoryMB: f.Limits.MemoryMB,
		MaxDescriptors: f.Limits.Sockets, InitialEndpoints: f.Known}
	if c.MaxDescriptors <= 0 {
		c.MaxDescriptors = defaultMaxDescriptors
	}
	for name, addr := range map[string]string{"listen": f.Listen, "discovery": f.Discovery} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return c, fmt.Errorf("%s: %w", name, err)
		}
	}
	if c.AdminAddr, err = CheckAdminAddr(f.Console); err != nil {
		return c, err
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if len(f.Settings) == 0 {
		return c, fmt.Errorf("settings are missing")
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Settings.DialTimeoutS <= 0 || c.Settings.ConnIdleS <= 0 {
		return c, fmt.Errorf("settings: limits.dialTimeoutS and limits.connIdleS must be above 0")
	}
	c.InitialEndpoints.Full = true
	if err := c.InitialEndpoints.Validate(); err != nil {
		return c, fmt.Errorf("known: %w", err)
	}
	if !c.Settings.PeerMessages {
		return c, nil
	}
	if c.PeerListen, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return c, fmt.Errorf("peer_listen: %w", err)
	}
	if len(f.Peers) != c.Settings.Gateways {
		return c, fmt.Errorf("peers: %d addresses given for %d ingresses", len(f.Peers), c.Settings.Gateways)
	}
	for i, text := range f.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return c, fmt.Errorf("peers: number %d: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if f.PeersAll != "" {
		if c.PeerBroadcast, err = netip.ParseAddrPort(f.PeersAll); err != nil {
			return c, fmt.Errorf("peers_all: %w", err)
		}
	}
	return c, nil
}
