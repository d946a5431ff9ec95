package agent

import (
	"context"
	"net/http/httptest"
	"testing"

	"eiderspread/internal/membership/merge"
	"eiderspread/internal/testbed/golden"
)

// Guards the encoded forms of the state file, the configuration file and the status page.
func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "state.json", &savedState{})
	golden.JSON(t, "status.json", &Status{})
	golden.TOML(t, "agent.toml", &File{})
}

// Guards the HTTP responses of an agent: the error before it is ready, the full list, the lines of a watch and an unknown path.
func TestGoldenList(t *testing.T) {
	p := newPublisher(7)
	get := func(name, path string) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // ends a watch after the changes that are available
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequestWithContext(ctx, "GET", path, nil))
		golden.Check(t, name, w.Body.Bytes())
	}
	get("early.txt", "/api/targets")
	p.markReady()
	p.setSourceAge(1.5)
	for _, state := range []merge.State{merge.Up, merge.Draining, merge.Removed, merge.Up} {
		p.publish([]merge.Entry{{Node: merge.Node{Identity: merge.Identity{ID: "a", Addr: "127.0.0.1:1", StartedMS: 2}, State: state, Zone: "z", Cell: 3,
			Weight: 4.5}, Reason: "not served"}})
	}
	get("whole.json", "/api/targets")
	get("watch.json", "/api/targets?watch=1&after=7")
	get("watch-all.json", "/api/targets?watch=1")
	get("none.txt", "/api/other")
}
