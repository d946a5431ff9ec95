package discovery

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The splitter finds the same tokens whatever the sizes of the reads and whatever characters JSON strings contain.
func TestObjectSplitter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		var want []string
		for range rapid.IntRange(1, 8).Draw(t, "parts") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				text.WriteString(rapid.SampledFrom([]string{"\n", " \r\n", "\t\n"}).Draw(t, "empty"))
				want = append(want, "")
			case 1:
				text.WriteString("noise}{\n")
				want = append(want, "noise}{")
			default:
				s := rapid.StringMatching(`[a-z{}\[\] ]{0,12}`).Draw(t, "string")
				o := fmt.Sprintf("{\n \"a\\\"%s\\\\\": [{\"b\":\"%s\"},\n\n[]]\n}", s, s)
				text.WriteString(o + rapid.SampledFrom([]string{"", "\n"}).Draw(t, "end"))
				want = append(want, o)
			}
		}
		size := rapid.IntRange(1, 40).Draw(t, "size")
		lines := bufio.NewScanner(&chunkReader{strings.NewReader(text.String()), size})
		lines.Buffer(nil, 1<<16)
		lines.Split(new(objectSplitter).split)
		var got []string
		for lines.Scan() {
			got = append(got, lines.Text())
		}
		// The line end after an object is an empty token if it arrives in a later read than the object, so empty tokens are not compared.
		nonEmpty := func(list []string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == "" })
		}
		if lines.Err() != nil || !slices.Equal(nonEmpty(got), nonEmpty(want)) {
			t.Fatalf("input %q: got tokens %q, want %q; error %v", text.String(), got, want, lines.Err())
		}
	})
}

// chunkReader reads at most n bytes at a time.
type chunkReader struct {
	r io.Reader
	n int
}

func (c *chunkReader) Read(b []byte) (int, error) { return c.r.Read(b[:min(len(b), c.n)]) }
