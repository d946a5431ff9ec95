package ingress

import (
	"hash/maphash"
	"slices"
	"sync/atomic"

	"eiderspread/internal/dataplane/callprotocol"
	"eiderspread/policy"
)

const (
	// duplicateWindowS is for how many seconds after its end a reply with a value may come a second time.
	duplicateWindowS = 1.0
	// noValueWindowS is the same for a reply without a value. It is shorter, as each such reply costs the connection's use in this time.
	noValueWindowS = 0.3
	// noValueRestS is for how many seconds after a reply without a value a connection is not reused: such replies are alike, so that a
	// duplicate could not be told from the reply to the next command.
	noValueRestS = 0.1
	// reuseDelayS is how many seconds after a reply a connection is not reused while another one is idle. Most duplicates follow in this time,
	// and are noticed before the next command is written.
	reuseDelayS = 0.005
	// maxRecentValues bounds the values that a connection remembers.
	maxRecentValues = 256
)

var hashSeed = maphash.MakeSeed()

// replyLimits are the times of a replyMatcher. Tests change them.
type replyLimits struct {
	duplicateWindowS float64
	noValueWindowS   float64
	noValueRestS     float64
}

// retireReason says why a connection to a backend must not carry another command.
type retireReason uint32

const (
	retireUnset         retireReason = iota // it may carry another command
	retireEnded                             // the backend or this ingress has ended it
	retireUnsolicited                       // bytes came while no command was out
	retireStray                             // bytes came behind a whole reply
	retireDuplicate                         // a reply had the value of an earlier one
	retireRepeatedError                     // a reply without a value came soon after another one, and may be its duplicate
	retireMalformed                         // a reply could not be read, or was of another kind than its command
	retireReasonsCount  int          = iota

	firstFault = retireUnsolicited // this reason and those after it are faults of the backend
)

var retireReasonNames = [retireReasonsCount]string{"unset", "ended", "unsolicited", "stray", "duplicate", "repeated_error", "malformed"}

func (r retireReason) String() string { return retireReasonNames[r] }

// replyMatcher decides which bytes of a connection to a backend belong to the command that is out, and which commands the connection may
// carry. A reply names no command, so the connection is retired as soon as one may be missing or too many. See docs/reply-matching.md.
type replyMatcher struct {
	awaiting  atomic.Bool   // a command is out: set by the loop before it writes the command, cleared by the reader at the reply's end
	retired   atomic.Uint32 // the first retireReason; of any goroutine
	commandAt float64       // no later than when the socket was found empty for the command; set by the loop before awaiting

	// Loop only.
	idleSince float64 // when the connection was put into the pool
	noValueAt float64 // when the last reply without a value was handled; 0: there was none

	// Reader only.
	awaitedBeforeRead bool            // whether a command was out directly before the last read
	values            []receivedValue // oldest first
}

// receivedValue is a value that a connection has carried.
type receivedValue struct {
	hash    uint64
	endedAt float64 // when its reply ended
}

// hashValue returns the hash of a value that is received whole.
func hashValue(value []byte) uint64 { return maphash.Bytes(hashSeed, value) }

// hashLargeValue returns the hash of the size of a large value and its first bytes.
func hashLargeValue(size int, prefix []byte) uint64 {
	return maphash.Comparable(hashSeed, struct {
		size   int
		prefix string
	}{size, string(prefix)})
}

// expect begins the wait for the reply to a command that is to be written at now. Loop only.
func (m *replyMatcher) expect(now float64) {
	m.commandAt = now
	m.awaiting.Store(true)
}

// noteBeforeRead is called by the reader directly before it reads from the socket. A command that is written after that can't be what the bytes
// answer: they had been taken from the socket when it was found empty.
func (m *replyMatcher) noteBeforeRead() { m.awaitedBeforeRead = m.awaiting.Load() }

// acceptValue reports whether a value may answer the command that is out. It does not if it is a value of a reply that ended less than the
// duplicate window before the command was written. Reader only.
func (m *replyMatcher) acceptValue(hash uint64, limits replyLimits) bool {
	recent := func(v receivedValue) bool { return m.commandAt-v.endedAt < limits.duplicateWindowS }
	if first := slices.IndexFunc(m.values, recent); first >= 0 {
		m.values = slices.Delete(m.values, 0, first)
	} else {
		m.values = m.values[:0]
	}
	if slices.ContainsFunc(m.values, func(v receivedValue) bool { return v.hash == hash }) {
		return false
	}
	if len(m.values) == maxRecentValues {
		m.values = slices.Delete(m.values, 0, 1)
	}
	m.values = append(m.values, receivedValue{hash: hash, endedAt: m.commandAt})
	return true
}

// endValue records when the reply of the value that was accepted last ended. Reader only.
func (m *replyMatcher) endValue(at float64) { m.values[len(m.values)-1].endedAt = at }

// endReply ends the wait for a reply. Reader only.
func (m *replyMatcher) endReply() { m.awaiting.Store(false) }

// recordReply records the reply to a command, and retires the connection if the reply may be the duplicate of an earlier one. Loop only.
func (m *replyMatcher) recordReply(now float64, res callprotocol.Result, limits replyLimits) {
	if res.Status != policy.OK && m.noValueWithin(m.commandAt, limits.noValueWindowS) {
		m.retire(retireRepeatedError)
	}
	if res.Status != policy.OK || res.Probe {
		m.noValueAt = now
	}
}

// noValueWithin reports whether a reply without a value ended less than seconds before at. Loop only.
func (m *replyMatcher) noValueWithin(at, seconds float64) bool {
	return m.noValueAt > 0 && at-m.noValueAt < seconds
}

// mustRest reports whether no command may be written at now, because a duplicate of the last replies could be taken for its reply. With
// mustRunOnce the command must not run twice. Loop only.
func (m *replyMatcher) mustRest(now float64, mustRunOnce bool, limits replyLimits) bool {
	if mustRunOnce {
		return now-m.idleSince < min(reuseDelayS, limits.duplicateWindowS) || m.noValueWithin(now, limits.noValueWindowS)
	}
	return m.noValueWithin(now, limits.noValueRestS)
}

// retire keeps the connection from carrying another command. The first reason is kept.
func (m *replyMatcher) retire(reason retireReason) {
	m.retired.CompareAndSwap(uint32(retireUnset), uint32(reason))
}

// isRetired reports whether the connection must not carry another command.
func (m *replyMatcher) isRetired() bool { return m.reason() != retireUnset }

// reason returns why the connection is retired.
func (m *replyMatcher) reason() retireReason { return retireReason(m.retired.Load()) }

// selectIdle returns the index of the connection that is to carry the next command of those that are idle, oldest first, or -1. A command
// that must not run twice gets the one that has been idle longest, as a duplicate would fail it. Another one gets the one that was used last
// and whose reuse delay is over, or else the one that has been idle longest. Loop only.
func selectIdle(conns []*backendConn, now float64, mustRunOnce bool, limits replyLimits) int {
	mayCarry := func(c *backendConn) bool { return !c.replies.mustRest(now, mustRunOnce, limits) }
	if !mustRunOnce {
		for i, c := range slices.Backward(conns) {
			if now-c.replies.idleSince >= reuseDelayS && mayCarry(c) {
				return i
			}
		}
	}
	return slices.IndexFunc(conns, mayCarry)
}
