package planner

import (
	"eiderspread/internal/link"
	"eiderspread/internal/overload"
)

// How the modules of all cells, at whichever planners, come to hold one level of overload: each tells its own a few times a second, to those of the
// same planner directly and to the others by way of two forwarders, another two each time. Forwarders pass words on and keep none.
const (
	wordEveryS = 0.25
	wordWays   = 2 // forwarders that carry each word, so that one that is cut off or lost does not matter
)

type words struct {
	at   float64 // when the next are due
	next int     // forwarder
}

// tellWords tells the levels of the cells led here. It costs nothing where overload is not looked for.
func (h *Host) tellWords(now float64) {
	if !h.cfg.Settings.Overload.On || now < h.words.at {
		return
	}
	h.words.at = now + wordEveryS
	var said []link.Msg
	for i := range h.cells {
		if s := h.pressure(i); s != nil {
			level, phase := s.Word()
			h.hearWord(i, level, phase)
			said = append(said, link.OverloadOf(i, level, phase))
		}
	}
	for ways := 0; ways < wordWays && len(said) > 0; ways++ {
		for range h.up { // the next one that is linked
			h.words.next = (h.words.next + 1) % len(h.up)
			if h.up[h.words.next] {
				h.out.Link(h.words.next, said...)
				break
			}
		}
	}
}

// hearWord takes in the word of a cell's module at those of all others led here.
func (h *Host) hearWord(cell int, level float64, phase uint8) {
	for i := range h.cells {
		if s := h.pressure(i); s != nil && i != cell {
			s.HearLevel(h.now, cell, level, phase)
		}
	}
}

// pressure is what the module of a cell that is led here knows of overload; nil if there is none.
func (h *Host) pressure(cell int) *overload.State {
	if c := &h.cells[cell]; c.gate != nil && h.leases.leads(h.now, cell, c.epoch) {
		return c.gate.Overload()
	}
	return nil
}

// Levels are those of the cells that are led here, from 0 to 1 each.
func (h *Host) Levels(now float64) (list []float64) {
	h.now = now
	for i := range h.cells {
		if s := h.pressure(i); s != nil {
			list = append(list, s.Level())
		}
	}
	return list
}
