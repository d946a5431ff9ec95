package hotrestart

import (
	"crypto/sha256"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// maxSocketAddress is the length of the longest address of a Unix socket, in bytes.
	maxSocketAddress = 107
	// maxDirectPath is the length of the longest path, in bytes, at which versions before this one listened.
	maxDirectPath = 100
	// maxSocketFile is the length of the longest file name, in bytes, that an address has room for if the folder is given by a descriptor.
	maxSocketFile = 80
)

// SocketPath returns the path of the Unix socket at which the running process called name listens for its successor. Both processes use the
// same dir; the socket is directly in dir, whatever characters name has. A path may be longer than the address of a socket.
func SocketPath(dir, name string) string {
	path := filePath(dir, name, ".sock")
	if len(path) > maxDirectPath && len(filepath.Base(path)) > maxSocketFile {
		return filePath(dir, fmt.Sprintf("%x", sha256.Sum256([]byte(name))), ".sock")
	}
	return path
}

// filePath returns the path of a file in dir that belongs to the process called name.
func filePath(dir, name, suffix string) string {
	return filepath.Join(dir, "eiderspread-"+filepath.Base("/"+name)+suffix)
}

// withAddress calls use with an address for the socket file at path, which is valid until use returns. If the path is too long for an address,
// it leads through a descriptor of the folder.
func withAddress(path string, use func(address string) error) error {
	if len(path) <= maxSocketAddress {
		return use(path)
	}
	dir, err := os.OpenFile(filepath.Dir(path), unix.O_PATH|syscall.O_DIRECTORY, 0)
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}
