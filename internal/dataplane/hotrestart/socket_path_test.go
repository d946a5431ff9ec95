package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// longDir returns a folder whose path has the given length in bytes.
func longDir(t *testing.T, length int) string {
	t.Helper()
	dir := t.TempDir()
	for len(dir) < length {
		dir += "/" + strings.Repeat("d", min(length-len(dir)-1, 200))
		if left := length - len(dir); left == 1 { // too little for another folder
			dir += "d"
		}
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Guards upgrades where the path of $TMPDIR is longer than the address of a socket (review/9): it was refused from 100 bytes on.
func TestSocketPath_AnyLength(t *testing.T) {
	const longestPath = 4095 // of the kernel
	names := map[string]int{"n": 0, "ingress-0": 0, strings.Repeat("x", 70): 0, strings.Repeat("y", 200): 0}
	for _, length := range []int{80, 90, 100, 104, 107, 108, 200, longestPath - 40, longestPath} {
		dir := longDir(t, max(length, len(t.TempDir())+2))
		for name := range names {
			t.Run(fmt.Sprintf("folder %d name %d", length, len(name)), func(t *testing.T) {
				path := SocketPath(dir, name)
				if filepath.Dir(path) != dir {
					t.Fatalf("got path %s, want one in %s", path, dir)
				}
				for range 2 { // the second takes the place of the first one's file
					l, err := Listen(path)
					if err != nil {
						t.Fatal(err)
					}
					defer l.Close()
					link, err := Dial(path)
					if err != nil {
						t.Fatal(err)
					}
					defer link.Close()
					other, err := l.Accept()
					if err != nil {
						t.Fatal(err)
					}
					other.Close()
				}
				names[name]++
			})
		}
	}
	for name, n := range names {
		if n != 9 {
			t.Errorf("name of %d bytes: worked in %d folders, want 9", len(name), n)
		}
	}
	for _, name := range []string{"n", strings.Repeat("x", 75)} { // where older versions listen, if the path is short enough for them
		if path, want := SocketPath("/tmp", name), "/tmp/eiderspread-"+name+".sock"; len(want) <= maxDirectPath && path != want {
			t.Errorf("got path %s, want %s", path, want)
		}
	}
}

// Guards against a file of somebody else that is removed, and against refusals that do not name the path.
func TestListen_Refused(t *testing.T) {
	for _, length := range []int{0, 200} {
		for name, occupy := range map[string]func(path string) error{
			"regular file": func(path string) error { return os.WriteFile(path, []byte("x"), 0o600) },
			"folder":       func(path string) error { return os.Mkdir(path, 0o700) },
			"link":         func(path string) error { return os.Symlink("/dev/null", path) },
		} {
			t.Run(fmt.Sprint(name, " ", length), func(t *testing.T) {
				path := SocketPath(longDir(t, length), "n")
				if err := occupy(path); err != nil {
					t.Fatal(err)
				}
				if l, err := Listen(path); l != nil || !errors.Is(err, ErrForeignFile) || !strings.Contains(err.Error(), path) {
					t.Errorf("listen: got %v, %v, want %v with the path", l, err, ErrForeignFile)
				}
				if _, err := os.Lstat(path); err != nil {
					t.Errorf("the file is gone: %v", err)
				}
				if l, err := Dial(path); l != nil || err == nil || !strings.Contains(err.Error(), path) {
					t.Errorf("dial: got %v, %v, want an error with the path", l, err)
				}
			})
		}
		missing := filepath.Join(longDir(t, length), "missing")
		if _, err := Listen(SocketPath(missing, "n")); !errors.Is(err, syscall.ENOENT) || !strings.Contains(err.Error(), missing) {
			t.Errorf("no folder: got error %v, want %v with the folder", err, syscall.ENOENT)
		}
	}
}
