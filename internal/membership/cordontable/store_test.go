package cordontable

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

// TestMain is also the process that TestStore_KilledWhileWriting kills.
func TestMain(m *testing.M) {
	if path := os.Getenv("HELD_TEST_WRITER"); path != "" {
		s := NewStore(path)
		for i := 0; ; i++ {
			err := s.Update(context.Background(), func(Cordons) (Cordons, error) {
				cordons := Cordons{}
				for k := range 300 {
					cordons[fmt.Sprintf("s-%d", k)] = Cordon{SinceMS: int64(i + 1)}
				}
				return cordons, nil
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

// After a process is killed in the middle of a write, the file is the one before or the one after.
func TestStore_KilledWhileWriting(t *testing.T) {
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
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = cmd.Wait() // it was killed
		var got Cordons
		if err := NewStore(path).ReadIfChanged(func(cordons Cordons) { got = cordons }); err != nil {
			t.Fatal(err)
		}
		first := got["s-0"].SinceMS
		for id, cordon := range got {
			if cordon.SinceMS != first {
				t.Fatalf("a mixture: %s of %d among those of %d", id, cordon.SinceMS, first)
			}
		}
		if len(got) != 300 || first < 1 {
			t.Fatalf("%d holds of write %d", len(got), first)
		}
	}
}

// Two processes do not undo each other's updates.
func TestStore_TwoWritersLoseNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	var wg sync.WaitGroup
	for w := range 2 {
		s := NewStore(path)
		wg.Go(func() {
			for i := range 50 {
				err := s.Update(context.Background(), func(cordons Cordons) (Cordons, error) {
					if cordons = maps.Clone(cordons); cordons == nil {
						cordons = Cordons{}
					}
					cordons[fmt.Sprint(w, "-", i)] = Cordon{SinceMS: 1}
					return cordons, nil
				})
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	var got Cordons
	if err := NewStore(path).ReadIfChanged(func(cordons Cordons) { got = cordons }); err != nil || len(got) != 100 {
		t.Fatal(len(got), err)
	}
}

// An update does not wait for others beyond the end of its own context.
func TestStore_UpdateDoesNotQueue(t *testing.T) {
	s := NewStore(filepath.Join(t.TempDir(), "held"))
	begun, free, done := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		done <- s.Update(context.Background(), func(Cordons) (Cordons, error) {
			close(begun)
			<-free
			return Cordons{}, nil
		})
	}()
	<-begun
	over, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Update(over, func(Cordons) (Cordons, error) { t.Error("two at once"); return nil, nil }); !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	close(free)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestStore_UnusableFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	s := NewStore(path)
	if err := s.ReadIfChanged(func(Cordons) { t.Error("nothing is there") }); err != nil {
		t.Fatal(err)
	}
	if err := s.Update(context.Background(), func(Cordons) (Cordons, error) { return Cordons{"a": {SinceMS: 1}}, nil }); err != nil {
		t.Fatal(err)
	}
	good, _ := os.ReadFile(path)
	for name, text := range map[string]string{"empty": "", "cut": string(good[:len(good)/2]), "sum": `{"version":1,"sum":"00","holds":{}}`,
		"version": `{"version":2,"sum":"","holds":{}}`, "changed": string(good[:len(good)-4]) + "9}}}"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := NewStore(path).ReadIfChanged(func(Cordons) { t.Error(name, "was taken") }); err == nil {
			t.Error(name, "is no error")
		}
	}
	// An update goes through all the same.
	if err := s.Update(context.Background(), func(cordons Cordons) (Cordons, error) { return Cordons{"b": {SinceMS: 2}}, nil }); err != nil {
		t.Fatal(err)
	}
	rejected := errors.New("no")
	if err := s.Update(context.Background(), func(Cordons) (Cordons, error) { return nil, rejected }); !errors.Is(err, rejected) {
		t.Fatal(err)
	}
	if err := NewStore(path).ReadIfChanged(func(cordons Cordons) {
		if len(cordons) != 1 || cordons["b"].SinceMS != 2 {
			t.Error("a refused change was written:", cordons)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"version":1,"sum":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a","holds":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cordons, err := parseFile(text); err == nil && (cordons == nil || len(cordons) > MaxCordons) {
			t.Fatal("taken:", cordons)
		}
	})
}
