package policy

import (
	"math"
	"slices"

	"eiderspread/internal/base/peerprotocol"
)

const (
	unlimitedMessageRate = 1e6  // messages a second, where the settings give no limit
	memberReportFraction = 0.45 // of the peer message rate, for this gateway's own reports; replies come on top

	gossipPerMessage = 6   // entries in a message
	gossipTTLS       = 2.0 // seconds for which an entry is passed on
	gossipMinStepS   = 0.2 // seconds by which an entry must be newer than what is known
)

// record is what two gateways exchange about one account: a member's report, or its owner's reply.
type record = peerprotocol.Record

// messageHeader begins a message.
func (g *Gateway) messageHeader() []byte {
	g.sequence++
	return peerprotocol.AppendHeader(make([]byte, 0, peerprotocol.MaxLen), g.incarnation, g.sequence)
}

// sendMessage sends a message with the records behind its header, if there are any, and gossip in what is
// left of its length.
func (g *Gateway) sendMessage(to int, message []byte) {
	if len(message) == peerprotocol.HeaderLen {
		return
	}
	records := (len(message) - peerprotocol.HeaderLen) / peerprotocol.RecordLen
	message[peerprotocol.RecordCountOffset] = byte(records)
	g.sendGossip(to, message)
}

// sendGossip sends a message with gossip in what is left of its length.
func (g *Gateway) sendGossip(to int, message []byte) {
	message = g.gossip.AppendNewest(g.shedder.AppendGossip(message), gossipPerMessage, g.now, gossipTTLS)
	g.actions.SendPeerMessage(to, message)
}

// HandlePeerMessage handles a message of another gateway. All its reports are answered at once, in one
// message. What can't be parsed, is older than an earlier message or comes from nowhere is ignored.
func (g *Gateway) HandlePeerMessage(now float64, from int, data []byte) {
	g.advanceClock(now)
	incarnation, sequence, records, entries, ok := peerprotocol.Parse(data, now)
	if !ok || from < 0 || from >= len(g.sequences) || from == g.settings.Self {
		return
	}
	if g.sequences[from].Stale(incarnation, sequence) {
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

// applyRecord applies a record of a peer, and appends the reply to a report that needs one.
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
		if received.LeaseS == 0 { // else the report is of slots alone
			replies = peerprotocol.AppendRecord(replies, reply)
		}
		g.serveWaitQueue(account)
	}
	return replies
}

// applyGossip applies what another gateway knows of a backend, and passes it on if it is new here.
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
