// Package ingressconfig reads the platform's configuration file of an ingress, and the operator's file. It also decides whether a running
// ingress can apply a reloaded configuration. The platform's key names are defined only here and, for the settings object, in package
// settings.
package ingressconfig

import (
	"cmp"
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

// Config is the configuration of an ingress.
type Config struct {
	Name           string
	Listen         string // address for clients
	Discovery      string // address of discovery
	AdminAddr      string // address of the operators' interface; empty: none
	Seed           uint64 // seeds the decider's random numbers
	MemoryMB       int    // memory limit; 0: none, and buffers are sized for DefaultMemoryMB
	MaxDescriptors int    // file descriptors that the process may hold

	PeerListen    netip.AddrPort   // address for messages of other ingresses; invalid: no peers
	Peers         []netip.AddrPort // by gateway number
	PeerBroadcast netip.AddrPort   // address that reaches all peers; invalid: none

	InitialEndpoints discovery.List // used until the first list from discovery arrives
	Settings         settings.Settings
	keys             keySet   // keys in the configuration file
	OperatorConfig   Operator // from the operator's file; zero if there is none
	FleetMember      bool     // whether the ingress belongs to a fleet, in which operators cordon backends at the planners

	// Dial connects to backends; nil: the operating system's TCP stack is used. It is not part of the file.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

// DefaultMemoryMB is the memory for which buffers are sized if the configuration has no memory limit.
const DefaultMemoryMB = 192

const defaultMaxDescriptors = 1024

const (
	// accountMemoryFraction is the fraction of the memory limit that the accounts of the decision module may use.
	accountMemoryFraction = 0.15
	// accountBytes is the memory that an account takes.
	accountBytes = 700
)

// MaxAccounts returns the number of accounts for which the process may keep state.
func (c Config) MaxAccounts() int {
	return int(float64(cmp.Or(c.MemoryMB, DefaultMemoryMB)<<20) * accountMemoryFraction / accountBytes)
}

var (
	errNoSettings   = errors.New("settings are missing")
	errConnTimeouts = errors.New("settings: limits.dialTimeoutS and limits.connIdleS must be above 0")
)

// fileConfig is the configuration file with the platform's key names. Unknown keys are ignored.
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

// Read reads and checks the configuration file. An error names the file and the key.
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

// parseAddrs checks the addresses of the ingress itself and of discovery, parses the seed, and sets AdminAddr.
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

// parseSettings parses the settings and checks the initial endpoint list.
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

// parsePeers parses the addresses of the other ingresses if the settings allow messages between ingresses.
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

// CheckAdminAddr returns addr, the address of the operators' interface, or an error if it is neither empty nor an IP address with a port.
func CheckAdminAddr(addr string) (string, error) {
	if addr == "" {
		return "", nil
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "", fmt.Errorf("console: %w", err)
	}
	return addr, nil
}
