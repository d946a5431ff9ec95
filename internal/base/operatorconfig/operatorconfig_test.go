package operatorconfig

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

func TestDecode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f.toml")
	var got struct {
		Number int `toml:"number"`
	}
	if err := Decode(path, &got); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: error %v, want fs.ErrNotExist", err)
	}
	if err := os.WriteFile(path, []byte("number = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Decode(path, &got); err != nil || got.Number != 3 {
		t.Errorf("decoded %+v with error %v, want number 3 without an error", got, err)
	}
	if err := os.WriteFile(path, []byte("number = 3\nnumbers = 4\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err, ok := errors.AsType[*UnknownKeyError](Decode(path, &got)); !ok || *err != (UnknownKeyError{path, "numbers"}) {
		t.Errorf("unknown key numbers: error %v, want an UnknownKeyError with the path and the key", err)
	}
}

func TestCheckLoopback(t *testing.T) {
	for addr, want := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "192.0.2.1:80": false, "0.0.0.0:80": false} {
		err := CheckLoopback("status", addr)
		if _, other := errors.AsType[*NotLoopbackError](err); other == want || (err == nil) != want {
			t.Errorf("%s: error %v, want a NotLoopbackError for addresses other than loopback and none for loopback", addr, err)
		}
	}
	if err := CheckLoopback("status", "nowhere"); err == nil {
		t.Error("CheckLoopback accepted an address without a port")
	}
}
