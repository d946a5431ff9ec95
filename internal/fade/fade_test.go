package fade

import "testing"

func TestWithin(t *testing.T) {
	var l Log
	for i := range 10 {
		l.Add(float64(i), 1)
	}
	if sum := l.Within(9.5, 3); sum != 3 || len(l) != 3 {
		t.Errorf("%v within 3 s, %d kept", sum, len(l))
	}
	if sum := l.Within(20, 3); sum != 0 || len(l) != 0 {
		t.Errorf("%v after all has passed, %d kept", sum, len(l))
	}
}
