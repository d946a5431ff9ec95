// Package golden compares encodings with stored files, so that a rename that changes the encoding on the wire or on disk fails a
// test. Only tests import it.
package golden

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"eiderspread/internal/base/operatorconfig"
)

var update = flag.Bool("update", false, "rewrite the files under testdata/golden")

// Path returns the path of a stored encoding, relative to the directory of the running test.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Load reads a stored encoding. It decompresses files whose name ends with .gz.
func Load(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(Path(name))
	if err == nil && strings.HasSuffix(name, ".gz") {
		var z *gzip.Reader
		if z, err = gzip.NewReader(bytes.NewReader(b)); err == nil {
			b, err = io.ReadAll(z)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func store(t testing.TB, name string, b []byte) {
	t.Helper()
	if strings.HasSuffix(name, ".gz") {
		var packed bytes.Buffer
		z := gzip.NewWriter(&packed)
		_, err := z.Write(b)
		if err = errors.Join(err, z.Close()); err != nil {
			t.Fatal(err)
		}
		b = packed.Bytes()
	}
	if err := errors.Join(os.MkdirAll(filepath.Dir(Path(name)), 0o755), os.WriteFile(Path(name), b, 0o644)); err != nil {
		t.Fatal(err)
	}
}

// Check compares got with the stored encoding, which it returns. With -update it stores got first.
func Check(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	if *update {
		store(t, name, got)
	}
	want := Load(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: encoding differs from the stored file\n got %.2000q\nwant %.2000q", name, got, want)
	}
	return want
}

// Same fails the test if a decoded value differs from the expected one.
func Same(t testing.TB, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded as\n%+v\nwant\n%+v", what, got, want)
	}
}

// JSON fills the value that v points to, and checks that its JSON encoding equals the stored one and decodes to the same value.
func JSON(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	back := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	if err := json.Unmarshal(Check(t, name, text), back); err != nil {
		t.Fatal(err)
	}
	Same(t, name, back, v)
}

// tomlKey matches a key or a table header in the output of the TOML encoder.
var tomlKey = regexp.MustCompile(`(?m)^\s*(\[+[\w.]+\]+|\w+ =)`)

// TOML fills the value that v points to, and checks that the stored operator's file decodes to the same value. It checks no
// encoding, as the programs only read such files.
func TOML(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	if *update {
		var b bytes.Buffer
		if err := toml.NewEncoder(&b).Encode(v); err != nil {
			t.Fatal(err)
		}
		Check(t, name, tomlKey.ReplaceAllFunc(b.Bytes(), bytes.ToLower))
	}
	back := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	if err := operatorconfig.Decode(Path(name), back); err != nil {
		t.Fatal(err)
	}
	Same(t, name, back, v)
}

// Fill sets all fields that an encoder sees in the value that v points to. No value is zero; numbers and strings differ from
// each other.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n)
}

func fill(v reflect.Value, n *int) {
	switch *n++; v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() || f.Anonymous {
				fill(v.Field(i), n)
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes([]byte("{}"))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(k, n)
		fill(e, n)
		v.SetMapIndex(k, e)
	case reflect.String:
		v.SetString("text" + strings.Repeat("x", *n%5) + string(rune('A'+*n%26)) + string(rune('a'+*n/26%26)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint8:
		v.SetUint(uint64(*n%255 + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	default:
		panic("golden: cannot fill a value of type " + v.Type().String())
	}
}
