// Package operator reads the files that operators write under deploy/.
package operatorconfig

import (
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// Decode reads an operator's file. A key that is not known is an error.
func Decode(path string, into any) error {
	md, err := toml.DecodeFile(path, into)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("%s: unknown key %s", path, extra[0])
	}
	return nil
}

// CheckLoopback tells what is wrong with an address that must be on loopback.
func CheckLoopback(name, addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if !a.Addr().IsLoopback() {
		return fmt.Errorf("%s must be a loopback address", name)
	}
	return nil
}
