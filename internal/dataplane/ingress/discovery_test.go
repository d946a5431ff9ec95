package ingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"eiderspread/internal/membership/discovery"
	"eiderspread/policy"
)

// fakeDiscovery is a discovery service that answers requests for the full list and watches with given lines. A response whose last
// line is "" stays open.
type fakeDiscovery struct {
	*httptest.Server
	requests chan string // path and query of each request
}

func newFakeDiscovery(t *testing.T, answer func(query string) []string) *fakeDiscovery {
	a := &fakeDiscovery{requests: make(chan string, 64)}
	hold := make(chan struct{})
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a.requests <- q.URL.RequestURI()
		lines := answer(q.URL.RawQuery)
		write(w, strings.Join(lines, "\n")+"\n")
		w.(http.Flusher).Flush()
		if len(lines) > 0 && lines[len(lines)-1] == "" {
			select {
			case <-hold:
			case <-q.Context().Done():
			}
		}
	}))
	t.Cleanup(func() { close(hold); a.Close() })
	return a
}

func (a *fakeDiscovery) addr() string { return strings.TrimPrefix(a.URL, "http://") }

// listJSON returns the JSON of a list. Each endpoint is given by two entries, its id and its state.
func listJSON(version int, full bool, entries ...string) string {
	var servers []string
	for i := 0; i < len(entries); i += 2 {
		servers = append(servers, fmt.Sprintf(`{"id":"%s","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"%s",`+
			`"weight":1.0,"started_ms":1500}`, entries[i], entries[i+1]))
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(servers, ","))
}

// Guards against an endpoint list that misses changes. After a watch has ended, the next one resumes from the last version; a
// partial list is merged and a full one replaces the list. An unreadable line or a decreasing version may hide changes that no later
// line repeats: the full list is then requested, and its unusable entries are left out.
func TestDiscovery_Watch(t *testing.T) {
	for name, bad := range map[string]string{"noise": "nonsense", "unknown state": listJSON(7, false, "y", "odd"),
		"version goes back": listJSON(3, false, "y", "terminating")} {
		t.Run(name, func(t *testing.T) {
			watches := 0 // the watcher sends one request at a time
			a := newFakeDiscovery(t, func(query string) []string {
				if query == "" {
					return []string{listJSON(8, true, "z", "in_service", "odd", "odd")}
				}
				switch watches++; watches {
				case 1:
					return []string{listJSON(5, true, "x", "in_service", "y", "in_service"), ""}[:1]
				case 2:
					return []string{listJSON(6, false, "x", "terminating"), bad, listJSON(9, false, "w", "in_service")}
				}
				return []string{""}
			})
			cfg := testConfig()
			cfg.Discovery = a.addr()
			cfg.InitialEndpoints = discovery.List{Version: 4, Full: true, Endpoints: []discovery.Endpoint{{ID: "old", Addr: "127.0.0.1:1", State: "in_service"}}}
			r := startIngress(t, cfg, nil)
			for _, want := range []string{"[old 0]", "[x 0 y 0]", "[x 1]", "[z 0]"} {
				if got := fmt.Sprint(r.nextBackendList()); got != want {
					t.Fatalf("the decider got backends %s, want %s", got, want)
				}
			}
			r.onLoop(func() {
				if len(r.ingress.backends.byID) != 1 || r.ingress.backends.byID["z"].state != policy.Up {
					t.Errorf("the pool has backends %+v, want only z, up", r.ingress.backends.byID)
				}
			})
			for _, want := range []string{"?watch=1&after=4", "?watch=1&after=5", "", "?watch=1&after=8"} {
				if got := receive(t, a.requests); got != "/api/targets"+want {
					t.Errorf("got request %q, want query %q", got, want)
				}
			}
		})
	}
}

// Guards against a watch that stays at the old address after a reload has changed the address of discovery, and against a newer list
// that is replaced by an older one: the known list stays until the new address has sent its full list.
func TestDiscovery_AddressChanges(t *testing.T) {
	from := newFakeDiscovery(t, func(string) []string { return []string{listJSON(50, true, "x", "in_service"), ""} })
	to := newFakeDiscovery(t, func(query string) []string {
		if query == "" {
			return []string{listJSON(2, true, "y", "in_service")}
		}
		return []string{listJSON(3, false, "v", "in_service"), ""}
	})
	cfg := testConfig()
	cfg.Discovery = from.addr()
	r := startIngress(t, cfg, nil)
	r.nextBackendList()
	if got := fmt.Sprint(r.nextBackendList()); got != "[x 0]" {
		t.Fatalf("backends from the first address: got %s, want [x 0]", got)
	}
	cfg.Discovery = to.addr()
	cfg.InitialEndpoints = discovery.List{Version: 1, Full: true, Endpoints: []discovery.Endpoint{{ID: "old", Addr: "127.0.0.1:1", State: "in_service"}}}
	r.reread <- cfg
	for _, want := range []string{"[y 0]", "[v 0]"} {
		if got := fmt.Sprint(r.nextBackendList()); got != want {
			t.Errorf("the decider got backends %s, want %s", got, want)
		}
	}
	if a, b := receive(t, to.requests), receive(t, to.requests); a != "/api/targets" || b != "/api/targets?watch=1&after=2" {
		t.Errorf("got requests %q, then %q; want the full list, then a watch after version 2", a, b)
	}
}
