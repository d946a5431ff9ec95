package hostile

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eiderspread/policy"
)

// Case is a case that can be played.
type Case struct {
	Name, What string
	MemoryMB   int            // limit of the programs; 0: defaultMemoryMB
	Alone      bool           // there are no other clients
	Overloads  bool           // more is asked than can be done, so that other clients may wait longer or be rejected too
	Classes    []policy.Class // of the programs; nil: classes
	play       func(r *Rig, res *Result, length time.Duration)
}

const (
	defaultMemoryMB = 64
	defaultSockets  = 1024
	settleTime      = 200 * time.Millisecond // for which the other clients send before and after a case
)

var cases []Case

func register(c Case) { cases = append(cases, c) }

// Cases returns all cases, in the order of their names.
func Cases() []Case {
	slices.SortFunc(cases, func(a, b Case) int { return cmp.Compare(a.Name, b.Name) })
	return cases
}

// Options say how a case is played.
type Options struct {
	Shape    Shape
	Programs string        // folder with the product's programs
	Dir      string        // for configurations and logs
	Length   time.Duration // of cases that have no end of their own
	Seed     uint64        // of cases that draw
}

// Play plays a case.
func (c Case) Play(o Options) (*Result, error) {
	cfg := Config{Shape: o.Shape, Programs: o.Programs, Dir: o.Dir, MemoryMB: cmp.Or(c.MemoryMB, defaultMemoryMB), Sockets: defaultSockets, Seed: o.Seed,
		Classes: c.Classes}
	if cfg.Classes == nil {
		cfg.Classes = classes
	}
	r, err := Start(cfg)
	if err != nil {
		return nil, fmt.Errorf("%s, %s: %w", c.Name, o.Shape, err)
	}
	defer r.Close()
	res := newResult()
	stop := func() {}
	if !c.Alone {
		stop = r.watchOthers(res, c.Overloads)
	}
	time.Sleep(settleTime)
	c.play(r, res, o.Length)
	time.Sleep(settleTime)
	stop()
	res.addMemory(r)
	return res, nil
}
