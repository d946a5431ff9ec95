package ingress

import (
	"time"

	"golang.org/x/time/rate"
)

// A client may send commands at its own rate without waiting. What all clients send beyond their own rates shares one rate, so that a client
// that sends at full speed leaves the loop time for the others, however many such clients there are. Commands that wait are held back in the
// client's socket.
const (
	clientCommandRate  = 250   // commands per second of each client
	clientCommandBurst = 128   // commands at once of each client
	sharedCommandRate  = 32000 // commands per second of all clients together, beyond their own rates
	sharedCommandBatch = 32    // commands that a client takes of the shared rate at a time
)

// newClientLimiter returns the limiter of one client's own rate.
func newClientLimiter() *rate.Limiter { return rate.NewLimiter(clientCommandRate, clientCommandBurst) }

// newSharedLimiter returns the limiter of the rate that all clients share.
func newSharedLimiter() *rate.Limiter {
	return rate.NewLimiter(sharedCommandRate, sharedCommandBatch)
}

// pace waits until the client's next command may be posted. It returns false if the reader has to stop first. Reader only.
func (c *clientConn) pace(in *Ingress) bool {
	if c.commandLimiter.Allow() {
		return true
	}
	if c.sharedCommands > 0 {
		c.sharedCommands--
		return true
	}
	turn := time.NewTimer(in.clients.sharedLimiter.ReserveN(time.Now(), sharedCommandBatch).Delay())
	defer turn.Stop()
	select {
	case <-turn.C:
		c.sharedCommands = sharedCommandBatch - 1
		return true
	case <-c.stopReading:
	case <-c.done:
	}
	return false
}
