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

// What a watch says is told apart the same way however it comes in pieces, and whatever stands in its texts.
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
		lines := bufio.NewScanner(&pieces{strings.NewReader(text.String()), size})
		lines.Buffer(nil, 1<<16)
		lines.Split(new(objectSplitter).split)
		var got []string
		for lines.Scan() {
			got = append(got, lines.Text())
		}
		// A line's end is an empty token where it comes apart from its object; how many of those there are tells nothing.
		spoken := func(list []string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == "" })
		}
		if lines.Err() != nil || !slices.Equal(spoken(got), spoken(want)) {
			t.Fatalf("%q came as %q, want %q (%v)", text.String(), got, want, lines.Err())
		}
	})
}

// pieces reads so many bytes at a time.
type pieces struct {
	r io.Reader
	n int
}

func (p *pieces) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.n)]) }
