package peerprotocol

// SequenceTracker detects old and repeated messages of one sender. Its zero value accepts any first message.
type SequenceTracker struct {
	Incarnation uint8  // of the last accepted message
	Sequence    uint16 // of the last accepted message; 0: none
}

// Stale reports whether a message is the last accepted one of the same incarnation or an older one. Any other message is accepted and
// recorded.
func (t *SequenceTracker) Stale(incarnation uint8, sequence uint16) bool {
	if incarnation == t.Incarnation && t.Sequence != 0 && int16(sequence-t.Sequence) <= 0 {
		return true
	}
	t.Incarnation, t.Sequence = incarnation, sequence
	return false
}
