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

// TestMain also runs the writing process that TestStore_KilledWhileWriting kills.
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

// Guards against a partly written file after a process is killed during a write: the file must be the one before or after that write.
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
				t.Fatal("the writing process ended by itself:", lines.Err())
			}
		}
		if err := cmd.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = cmd.Wait() // the error only says that the process was killed
		var got Cordons
		if err := NewStore(path).ReadIfChanged(func(cordons Cordons) { got = cordons }); err != nil {
			t.Fatal(err)
		}
		first := got["s-0"].SinceMS
		for id, cordon := range got {
			if cordon.SinceMS != first {
				t.Fatalf("the file mixes two writes: cordon of %s is from write %d, want write %d", id, cordon.SinceMS, first)
			}
		}
		if len(got) != 300 || first < 1 {
			t.Fatalf("got %d cordons of write %d, want 300 of write 1 or later", len(got), first)
		}
	}
}

// Guards against lost updates when two stores, like those of two processes, write the file at the same time.
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
		t.Fatalf("got %d cordons and error %v, want 100 and no error", len(got), err)
	}
}

// Guards against an update that waits for another update of the same process after its own context has ended.
func TestStore_UpdateStopsWaitingWithContext(t *testing.T) {
	s := NewStore(filepath.Join(t.TempDir(), "held"))
	started, proceed, done := make(chan struct{}), make(chan struct{}), make(chan error)
	go func() {
		done <- s.Update(context.Background(), func(Cordons) (Cordons, error) {
			close(started)
			<-proceed
			return Cordons{}, nil
		})
	}()
	<-started
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Update(ended, func(Cordons) (Cordons, error) { t.Error("two updates run at the same time"); return nil, nil }); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want %v", err, context.Canceled)
	}
	close(proceed)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against cordons from an unusable file, against an unusable file that blocks updates, and against writes by updates that failed.
func TestStore_UnusableFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held")
	s := NewStore(path)
	if err := s.ReadIfChanged(func(Cordons) { t.Error("apply was called without a file") }); err != nil {
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
		if err := NewStore(path).ReadIfChanged(func(Cordons) { t.Error(name, "file: apply was called, want an error") }); err == nil {
			t.Error(name, "file: got no error")
		}
	}
	// An update replaces the unusable file.
	if err := s.Update(context.Background(), func(cordons Cordons) (Cordons, error) { return Cordons{"b": {SinceMS: 2}}, nil }); err != nil {
		t.Fatal(err)
	}
	rejected := errors.New("no")
	if err := s.Update(context.Background(), func(Cordons) (Cordons, error) { return nil, rejected }); !errors.Is(err, rejected) {
		t.Fatal(err)
	}
	if err := NewStore(path).ReadIfChanged(func(cordons Cordons) {
		if len(cordons) != 1 || cordons["b"].SinceMS != 2 {
			t.Errorf("got cordons %v, want only b: an update whose apply failed was written, or an earlier one was not", cordons)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"version":1,"sum":"44136fa355b3678a1146ad16f7e8649e94fb4fc21fe77e8310c060f61caaff8a","holds":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cordons, err := parseFile(text); err == nil && (cordons == nil || len(cordons) > MaxCordons) {
			t.Fatalf("accepted a file with %d cordons, want a map with at most %d", len(cordons), MaxCordons)
		}
	})
}
