package decay

import "testing"

func TestWindow_Sum(t *testing.T) {
	var l Window
	for i := range 10 {
		l.Add(float64(i), 1)
	}
	if sum := l.Sum(9.5, 3); sum != 3 || len(l) != 3 {
		t.Errorf("%v within 3 s, %d kept", sum, len(l))
	}
	if sum := l.Sum(20, 3); sum != 0 || len(l) != 0 {
		t.Errorf("%v after all has passed, %d kept", sum, len(l))
	}
}
