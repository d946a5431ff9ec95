package peerprotocol

// SequenceTracker detects old and repeated messages of one sender. Its zero value accepts any first message.
type SequenceTracker struct {
	Incarnation uint8   // of the last accepted message
	Sequence    uint16  // of the last accepted message; 0: none
	AcceptedAt  float64 // when the last message was accepted, in Unix seconds
}

// Stale reports whether a message that is received at now is the last accepted one of the same incarnation or an older one. Any other message
// is accepted and recorded. A message that follows the last accepted one after more than silenceS seconds is never stale: no message is
// under way for so long, and a new process may have the incarnation of its predecessor.
func (t *SequenceTracker) Stale(incarnation uint8, sequence uint16, now, silenceS float64) bool {
	same := incarnation == t.Incarnation && t.Sequence != 0 && now-t.AcceptedAt <= silenceS
	if same && int16(sequence-t.Sequence) <= 0 {
		return true
	}
	t.Incarnation, t.Sequence, t.AcceptedAt = incarnation, sequence, now
	return false
}
