package forward

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"eiderspread/internal/ingress"
	"eiderspread/internal/kept"
	"eiderspread/internal/link"
	"eiderspread/internal/roster"
	"eiderspread/policy"
)

const (
	redialFirst = 30 * time.Millisecond // and as much again by chance
	redialMost  = time.Second
	statusAgain = 50 * time.Millisecond // between two tries at a status address that the process before may have
)

// Remote stands where the decision module stands in a one-program ingress. But for dialling and reading, all of it
// runs on the ingress's loop.
type Remote struct {
	ingress.Host // carries out what planners decide
	core         *Core
	cfg          File
	tls          *tls.Config
	life         uint64
	conns        []*link.Conn // by planner, nil: none
	in, out      uint64       // bytes of links that have ended
	ctx          context.Context
	hangUp       context.CancelFunc // ends all links, nil: planners are not dialled
	moved        bool               // another process goes on
}

// Make returns the maker that ingress.RunWith wants.
func Make(cfg File) func(context.Context, ingress.Host) (ingress.Gateway, error) {
	return func(ctx context.Context, host ingress.Host) (ingress.Gateway, error) {
		r := &Remote{Host: host, cfg: cfg, life: rand.Uint64(), conns: make([]*link.Conn, len(cfg.PlannersAt)), ctx: ctx}
		var err error
		if r.tls, err = cfg.TLS.Config(); err != nil {
			return nil, err
		}
		s := cfg.Base.Settings
		r.core = New(Config{Params: cfg.Params, Number: cfg.Number, Classes: s.Classes, Plans: s.Plans,
			MaxRetryAfterS: s.MaxRetryAfterS, MaxAttempts: s.MaxAttempts, Seed: cfg.Base.Seed ^ r.life}, host.Now(), r)
		if cfg.Status != "" {
			if err := r.serveStatus(ctx, host.Heir()); err != nil {
				return nil, err
			}
		}
		host.SetTimer(1, TickS)
		return r, nil
	}
}

// serveStatus serves the status until ctx ends. The process that this one replaces may have its address for as long as it lasts.
func (r *Remote) serveStatus(ctx context.Context, wait bool) error {
	l, err := net.Listen("tcp", r.cfg.Status)
	if err != nil && !wait {
		return fmt.Errorf("status: %w", err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(r.status), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { srv.Close() })
	go func() {
		for l == nil && ctx.Err() == nil {
			time.Sleep(statusAgain)
			l, _ = net.Listen("tcp", r.cfg.Status)
		}
		if l != nil {
			srv.Serve(l)
		}
	}()
	return nil
}

// dialAll begins to keep links to all planners.
func (r *Remote) dialAll() {
	ctx, end := context.WithCancel(r.ctx)
	r.hangUp = end
	for p := range r.cfg.PlannersAt {
		go r.dial(ctx, p, r.life)
	}
}

// Move implements ingress.Mover: this process links to no planner any more.
func (r *Remote) Move(now float64) []kept.Part {
	r.moved = true
	m := r.core.Move(now)
	m.Life = r.life
	if r.hangUp != nil {
		r.hangUp()
		r.hangUp = nil
	}
	for p, c := range r.conns {
		if c != nil {
			r.ended(p, c)
		}
	}
	return m.Split()
}

// Settle implements ingress.Mover.
func (r *Remote) Settle(now, shift float64, parts []kept.Part) error {
	m, ok := kept.Join(parts)
	if !ok {
		r.core.TakeBack(now) // promises that it gave may run: none is given for a lease
		return errors.New("what the process before knew is not a forwarder's")
	}
	m.Shift(shift)
	r.life = m.Life
	if !r.core.Settle(now, m) {
		r.Note("the process before was of another number of cells: nothing is promised for a lease")
	}
	return nil
}

// Ordered implements ingress.Mover.
func (r *Remote) Ordered(now float64, o kept.Order) { r.core.Ordered(now, o) }

// TakeBack implements ingress.Mover: to planners it is another life of the forwarder.
func (r *Remote) TakeBack(now float64) {
	r.moved, r.life = false, rand.Uint64()
	r.core.TakeBack(now)
}

// The loop's events, as ingress.Gateway words them. The list of servers is the planners' own matter, and there are
// no messages between forwarders.

func (r *Remote) Request(now float64, q policy.Request)    { r.core.Request(now, q) }
func (r *Remote) Outcome(now float64, o policy.Outcome)    { r.core.Outcome(now, o) }
func (r *Remote) Gone(now float64, id string)              { r.core.Gone(now, id) }
func (r *Remote) Servers(float64, []policy.Server, bool)   {}
func (r *Remote) Peer(float64, int, []byte)                {}
func (r *Remote) Probed(now float64, p policy.ProbeResult) { r.core.Probed(now, p) }
func (r *Remote) Timer(now float64, _ uint64) {
	r.SetTimer(1, TickS)
	if r.hangUp == nil && !r.moved { // from the first tick on: what another process knew is here by then
		r.dialAll()
	}
	r.core.Tick(now)
}

// Link implements Out.
func (r *Remote) Link(p int, msgs ...link.Msg) {
	if c := r.conns[p]; c != nil {
		c.Send(msgs...)
	}
}

// Room implements Out.
func (r *Remote) Room(p int) bool { return r.conns[p] != nil && r.conns[p].Room() }

// dial keeps a link to one planner for as long as ctx lasts, in one life of the forwarder.
func (r *Remote) dial(ctx context.Context, p int, life uint64) {
	wait := redialFirst
	for ctx.Err() == nil {
		began := time.Now()
		err := r.serve(ctx, p, life)
		if ctx.Err() != nil {
			return
		}
		r.Post(func(float64) { r.Note("link ended", "planner", p, "error", err) })
		if time.Since(began) > redialMost {
			wait = redialFirst
		}
		select { // by chance: all forwarders lose a planner at once
		case <-time.After(wait + rand.N(wait)):
		case <-ctx.Done():
		}
		wait = min(2*wait, redialMost)
	}
}

// serve makes one link and runs it to its end.
func (r *Remote) serve(ctx context.Context, p int, life uint64) error {
	silence := time.Duration(r.cfg.SilenceS * float64(time.Second))
	dialer := net.Dialer{Timeout: 4 * silence}
	conn, err := dialer.DialContext(ctx, "tcp", r.cfg.PlannersAt[p])
	if err != nil {
		return err
	}
	if r.tls != nil {
		cfg := r.tls.Clone()
		cfg.ServerName = r.cfg.Names[p]
		t := tls.Client(conn, cfg)
		conn.SetDeadline(time.Now().Add(4 * silence))
		if err := t.HandshakeContext(ctx); err != nil {
			conn.Close()
			return err
		}
		conn.SetDeadline(time.Time{})
		conn = t
	}
	l := link.NewConn(conn, silence)
	defer context.AfterFunc(ctx, func() { l.Close(ctx.Err()) })()
	l.Send(link.Msg{Kind: link.Hello, Plan: link.Version, Name: r.cfg.Name, N: uint32(r.cfg.Number), Epoch: life,
		Cell: uint16(r.cfg.Cells)})
	greeted := false
	err = l.Serve(func(msgs []link.Msg) {
		if !greeted {
			m := msgs[0]
			if m.Kind != link.Hello || m.Plan != link.Version || m.Name != r.cfg.Name || int(m.N) != p || int(m.Cell) != r.cfg.Cells {
				l.Close(errors.New("not the planner that was expected"))
				return
			}
			greeted, msgs = true, msgs[1:]
			r.Post(func(now float64) {
				if ctx.Err() == nil { // else it belongs to nobody
					r.conns[p] = l
					r.core.LinkUp(now, p, m.Epoch)
				}
			})
		}
		r.Post(func(now float64) {
			if r.conns[p] != l {
				return
			}
			for i := range msgs {
				r.core.Msg(now, p, &msgs[i])
			}
		})
	})
	if greeted {
		r.Post(func(now float64) {
			if r.conns[p] == l {
				r.ended(p, l)
				r.core.LinkDown(now, p)
			}
		})
	}
	return err
}

// ended lets go of a planner's link.
func (r *Remote) ended(p int, l *link.Conn) {
	r.in += l.In.Load()
	r.out += l.Out.Load()
	r.conns[p] = nil
}

// Hold implements Out.
func (r *Remote) Hold(server string, held bool) {
	r.Host.Hold(server, held)
	r.Note("operators hold a backend, or call it back", "id", server, "held", held)
}

// Status is what a forwarder tells people.
type Status struct {
	Kind     string       `json:"kind"`
	Number   int          `json:"number"`
	Links    []bool       `json:"links"`
	Requests int          `json:"requests"`
	BytesIn  uint64       `json:"bytes_in"`
	BytesOut uint64       `json:"bytes_out"`
	Stats    Stats        `json:"stats"`
	Cells    []CellStatus `json:"cells"`
	Held     []string     `json:"held"` // backends, by operators
	List     roster.Age   `json:"list"` // how old the list of backends is
	Old      bool         `json:"old"`  // too old to be trusted
}

func (r *Remote) status(w http.ResponseWriter, req *http.Request) {
	got := make(chan Status, 1)
	r.Post(func(now float64) {
		st := Status{Kind: "forwarder", Number: r.cfg.Number, Stats: r.core.Stats, BytesIn: r.in, BytesOut: r.out, List: r.ListAge()}
		st.Old = st.List.Old()
		for _, c := range r.conns {
			st.Links = append(st.Links, c != nil)
			if c != nil {
				st.BytesIn += c.In.Load()
				st.BytesOut += c.Out.Load()
			}
		}
		r.core.now = now
		st.Held = r.core.Holds()
		st.Cells, st.Requests = r.core.Cells()
		got <- st
	})
	select {
	case st := <-got:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
	case <-req.Context().Done():
	case <-time.After(time.Second):
	}
}
