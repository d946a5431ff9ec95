// Package golden holds encodings to bytes that were stored once: a rename that changes what goes on the wire or on disk fails a test. It is
// imported by tests only.
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

// Path is where the stored form of a name is, beside the test that runs.
func Path(name string) string { return filepath.Join("testdata", "golden", name) }

// Load reads stored bytes; those of a name that ends with .gz are compressed on disk.
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

// Check compares got with the stored bytes, which it returns.
func Check(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	if *update {
		store(t, name, got)
	}
	want := Load(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s: the encoding has changed\n got %.2000q\nwant %.2000q", name, got, want)
	}
	return want
}

// Same compares what was read with what was stored.
func Same(t testing.TB, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: read as\n%+v\nwant\n%+v", what, got, want)
	}
}

// JSON holds the JSON form of v, a pointer to a value that is filled, in both directions.
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

// key is a key or a table's name in what the TOML encoder writes.
var key = regexp.MustCompile(`(?m)^\s*(\[+[\w.]+\]+|\w+ =)`)

// TOML holds the keys of an operator's file that is read into v, a pointer to a value that is filled. Such files are only read.
func TOML(t testing.TB, name string, v any) {
	t.Helper()
	Fill(v)
	if *update {
		var b bytes.Buffer
		if err := toml.NewEncoder(&b).Encode(v); err != nil {
			t.Fatal(err)
		}
		Check(t, name, key.ReplaceAllFunc(b.Bytes(), bytes.ToLower))
	}
	back := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	if err := operatorconfig.Decode(Path(name), back); err != nil {
		t.Fatal(err)
	}
	Same(t, name, back, v)
}

// Fill sets all that an encoder sees behind the pointer v to values that are not zero; numbers and texts differ from each other.
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
		panic("golden: can't fill " + v.Type().String())
	}
}
