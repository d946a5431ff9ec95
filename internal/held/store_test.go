package held

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// TestMain also is the process that TestKilledWhileWriting kills.
func TestMain(m *testing.M) {
	if path := os.Getenv("HELD_TEST_WRITER"); path != "" {
		s := NewStore(path)
		for i := 0; ; i++ {
			err := s.Change(context.Background(), func(h Holds) (Holds, error) {
				h = Holds{}
				for k := range 300 {
					h[fmt.Sprintf("s-%d", k)] = Hold{SinceMS: int64(i + 1)}
				}
				return h, nil
			})
			if err != nil {
				fmt.Println("error", err)
				os.Exit(1)
			}
			fmt.Println("written", i)
		}
	}
	os.Exit(m.Run())
}

// Guards a process that is killed in the middle of a write: the file is the one before or the one after, never a part.
func TestKilledWhileWriting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	for round := range 12 {
		cmd := exec.Command(os.Args[0], "-test.run=none")
		cmd.Env = append(os.Environ(), "HELD_TEST_WRITER="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for range 3 + 5*round {
			if !lines.Scan() {
				t.Fatal("the writer ended:", lines.Err())
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		var got Holds
		if err := NewStore(path).Look(func(h Holds) { got = h }); err != nil {
			t.Fatal(err)
		}
		first := got["s-0"].SinceMS
		for id, h := range got {
			if h.SinceMS != first {
				t.Fatalf("a mixture: %s of %d among those of %d", id, h.SinceMS, first)
			}
		}
		if len(got) != 300 || first < 1 {
			t.Fatalf("%d holds of write %d", len(got), first)
		}
	}
}

// Guards two processes of an overlap against undoing each other's calls.
func TestTwoWritersLoseNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	var wg sync.WaitGroup
	for w := range 2 {
		s := NewStore(path)
		wg.Go(func() {
			for i := range 50 {
				err := s.Change(context.Background(), func(h Holds) (Holds, error) {
					if h = maps.Clone(h); h == nil {
						h = Holds{}
					}
					h[fmt.Sprint(w, "-", i)] = Hold{SinceMS: 1}
					return h, nil
				})
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	var got Holds
	if err := NewStore(path).Look(func(h Holds) { got = h }); err != nil || len(got) != 100 {
		t.Fatal(len(got), err)
	}
}

// Guards a call's time against the calls before it: it does not wait for them beyond its own.
func TestCallsDoNotQueue(t *testing.T) {
	s := NewStore(filepath.Join(t.TempDir(), "held"))
	begun, free, done := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		done <- s.Change(context.Background(), func(Holds) (Holds, error) {
			close(begun)
			<-free
			return Holds{}, nil
		})
	}()
	<-begun
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Change(over, func(Holds) (Holds, error) { t.Error("two at once"); return nil, nil }); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	close(free)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestFilesThatCannotBeUsed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	s := NewStore(path)
	if err := s.Look(func(Holds) { t.Error("nothing is there") }); err != nil {
		t.Fatal(err)
	}
	if err := s.Change(context.Background(), func(Holds) (Holds, error) { return Holds{"a": {SinceMS: 1}}, nil }); err != nil {
		t.Fatal(err)
	}
	good, _ := os.ReadFile(path)
	for name, text := range map[string]string{"empty": "", "cut": string(good[:len(good)/2]), "sum": `{"version":1,"sum":"00","holds":{}}`,
		"version": `{"version":2,"sum":"","holds":{}}`, "changed": string(good[:len(good)-4]) + "9}}}"} {
		os.WriteFile(path, []byte(text), 0o600)
		if err := NewStore(path).Look(func(Holds) { t.Error(name, "was taken") }); err == nil {
			t.Error(name, "is no error")
		}
	}
	// A call still goes through: what it asks for is known.
	if err := s.Change(context.Background(), func(h Holds) (Holds, error) { return Holds{"b": {SinceMS: 2}}, nil }); err != nil {
		t.Fatal(err)
	}
	refused := errors.New("no")
	if err := s.Change(context.Background(), func(Holds) (Holds, error) { return nil, refused }); !errors.Is(err, refused) {
		t.Fatal(err)
	}
	if err := NewStore(path).Look(func(h Holds) {
		if len(h) != 1 || h["b"].SinceMS != 2 {
			t.Error("a refused change was written:", h)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"sum":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a","holds":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if h, err := parse(text); err == nil && (h == nil || len(h) > Most) {
			t.Fatal("taken:", h)
		}
	})
}
