package ingress

import "testing"

func BenchmarkParseCall(b *testing.B) {
	words := newVocabulary(testConfig().Settings.Settings)
	var args [][]byte
	for _, a := range lookCommand("9b1f03aa5c7e2d41") {
		args = append(args, []byte(a))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := words.parseCall(args); err != nil {
			b.Fatal(err)
		}
	}
}
