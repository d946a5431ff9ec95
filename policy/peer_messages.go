package policy

import (
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

const (
	unlimitedMessageRate = 1e6  // messages per second, if the settings set no limit
	memberReportFraction = 0.45 // fraction of the peer message rate for own reports; replies come on top

	gossipPerMessage = 6   // maximum number of entries in a message
	gossipTTLS       = 2.0 // seconds for which an entry is forwarded
	gossipMinStepS   = 0.2 // seconds by which an entry must be newer than the known value
)

// record is the part of a message that concerns one account: a member's report or its owner's reply.
type record = peerprotocol.Record

// incarnationStepS is the time in seconds after which a new process of a gateway has another incarnation.
// They repeat after 128 steps, which exceeds memberTTLS.
const incarnationStepS = 0.1

// timedIncarnation returns the incarnation of a process that starts at now.
func timedIncarnation(now float64, random uint8) uint8 {
	return uint8(uint64(max(now, 0)/incarnationStepS)<<1) | random&1
}

// messageHeader returns a new message that has only its header, with the next sequence number.
func (g *Gateway) messageHeader() []byte {
	g.sequence++
	return peerprotocol.AppendHeader(make([]byte, 0, peerprotocol.MaxLen), g.incarnation, g.sequence)
}

// sendMessage sends a message with its records and with gossip in the space that is left. It sends nothing if
// there are no records.
func (g *Gateway) sendMessage(to int, message []byte) {
	if len(message) == peerprotocol.HeaderLen {
		return
	}
	records := (len(message) - peerprotocol.HeaderLen) / peerprotocol.RecordLen
	message[peerprotocol.RecordCountOffset] = byte(records)
	g.sendGossip(to, message)
}

// sendGossip fills the space that is left in a message with gossip and sends it.
func (g *Gateway) sendGossip(to int, message []byte) {
	message = g.gossip.AppendNewest(g.shedder.AppendGossip(message), gossipPerMessage, g.now, gossipTTLS)
	g.actions.SendPeerMessage(to, message)
}

// HandlePeerMessage handles a message of another gateway. It replies to all reports in the message at once,
// in one message. It ignores messages that can't be parsed, are older than one received before, or have an
// invalid sender.
func (g *Gateway) HandlePeerMessage(now float64, from int, data []byte) {
	g.advanceClock(now)
	incarnation, sequence, records, entries, ok := peerprotocol.Parse(data, now)
	if !ok || from < 0 || from >= len(g.sequences) || from == g.settings.Self {
		return
	}
	if g.sequences[from].Stale(incarnation, sequence, now, memberTTLS) {
		return
	}
	g.failureDetector.RecordMessage(from)
	g.messageRate, g.messageRateAt = g.messageRate*math.Exp(g.messageRateAt-now)+1, now
	for _, entry := range entries {
		if !g.shedder.ApplyGossip(now, from, entry) {
			g.applyGossip(entry)
		}
	}
	replies := g.messageHeader()
	for _, received := range records {
		replies = g.applyRecord(from, received, replies)
	}
	g.sendMessage(from, replies)
	g.flushReports()
}

// applyRecord applies a record of a peer. If the record is a report that needs a reply, it appends the reply
// to replies.
func (g *Gateway) applyRecord(from int, received record, replies []byte) []byte {
	account := g.accounts[accountKey{received.AccountKey, uint32(received.Plan)}]
	switch {
	case received.Plan >= len(g.plans):
	case received.FromOwner && account != nil && account.reportTo == from:
		g.failureDetector.RecordReply()
		g.applyOwnerReply(account, received)
	case !received.FromOwner:
		if account == nil {
			account = g.newAccount(received.AccountKey, g.plans[received.Plan])
		}
		account.lastUsedAt = g.now
		reply := g.applyMemberReport(account, from, received)
		if received.LeaseS == 0 { // a report with a lease time is of slots alone and needs no reply
			replies = peerprotocol.AppendRecord(replies, reply)
		}
		g.serveWaitQueue(account)
	}
	return replies
}

// applyGossip applies another gateway's entry about a backend, and forwards it if it is new to this gateway.
func (g *Gateway) applyGossip(entry peerprotocol.GossipEntry) {
	backend := g.backends.ByShortHash(entry.BackendHash)
	if backend == nil || backend.StartedAt > entry.At {
		return
	}
	if entry.ClassTag == peerprotocol.UtilizationTag {
		if entry.At < backend.utilizationAt+gossipMinStepS {
			return
		}
		backend.utilization, backend.utilizationAt = entry.Value, entry.At
	} else {
		i := slices.IndexFunc(g.classList, func(class *classState) bool { return class.tag == entry.ClassTag })
		if i >= 0 && !backend.ApplyGossip(i, entry.Value, entry.At, gossipMinStepS) {
			return
		}
	}
	g.gossip.Add(entry)
}
