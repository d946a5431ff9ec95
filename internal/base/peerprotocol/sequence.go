package peerprotocol

// SequenceTracker recognizes old and repeated messages of one sender. Its zero value accepts any first message.
type SequenceTracker struct {
	Incarnation uint8  // of the last message that was accepted
	Sequence    uint16 // of the same; 0: none
}

// Stale reports whether a message is older than one that was accepted already, or the same. Otherwise it is accepted.
func (t *SequenceTracker) Stale(incarnation uint8, sequence uint16) bool {
	if incarnation == t.Incarnation && t.Sequence != 0 && int16(sequence-t.Sequence) <= 0 {
		return true
	}
	t.Incarnation, t.Sequence = incarnation, sequence
	return false
}
