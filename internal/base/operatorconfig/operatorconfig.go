// Package operatorconfig reads the TOML files that operators write under deploy/.
package operatorconfig

import (
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// UnknownKeyError reports a key in a file that the program does not know.
type UnknownKeyError struct{ Path, Key string }

// Error implements error.
func (e *UnknownKeyError) Error() string { return fmt.Sprintf("%s: unknown key %s", e.Path, e.Key) }

// Decode reads the TOML file at path into a struct. Its errors name the path; for a key that the struct does not have it returns an
// *UnknownKeyError.
func Decode(path string, into any) error {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return &UnknownKeyError{path, unknown[0].String()}
	}
	return nil
}

// NotLoopbackError reports an address that is not a loopback address and so can be reached from other machines.
type NotLoopbackError struct {
	Key  string // of the address in the file
	Addr string
}

// Error implements error.
func (e *NotLoopbackError) Error() string {
	return fmt.Sprintf("%s must be a loopback address: %s is no loopback address", e.Key, e.Addr)
}

// CheckLoopback checks that addr, an IP address with a port, is a loopback address; otherwise it returns a *NotLoopbackError. key is the
// key of the address in its file.
func CheckLoopback(key, addr string) error {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if !parsed.Addr().IsLoopback() {
		return &NotLoopbackError{key, addr}
	}
	return nil
}
