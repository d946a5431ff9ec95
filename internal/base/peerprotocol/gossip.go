package peerprotocol

import (
	"encoding/binary"
	"math"
)

const (
	// UtilizationTag takes the place of a class's tag in entries that hold a backend's utilization.
	UtilizationTag = 255
	// MaxBackendHash is the largest hash of a backend.
	MaxBackendHash = loadShedHash - 1

	// loadShedHash, in place of a backend's hash, marks an entry as the sender's load-shedding state. Earlier versions read
	// it as the utilization of a backend that they don't know.
	loadShedHash = math.MaxUint16

	entryAgeStepS    = 0.02 // seconds, unit of an entry's age
	maxGossipEntries = 64   // largest length of Gossip
)

// GossipEntry is what the sender knows of a backend: its error score for a class or, with UtilizationTag, its utilization.
type GossipEntry struct {
	BackendHash uint16
	ClassTag    int     // of the class, see ClassTag; or UtilizationTag
	Value       float64 // 0 to 1
	At          float64 // when the sender knew the value, in Unix seconds of the reader's clock
}

// ClassTag returns the tag that stands for a class's name in gossip, 0 to UtilizationTag-1.
func ClassTag(class string) int { return int(HashPoint(class) % UtilizationTag) }

// AppendGossipEntry appends an entry. All records must come before the first entry.
func AppendGossipEntry(message []byte, entry GossipEntry, now float64) []byte {
	message = binary.BigEndian.AppendUint16(message, entry.BackendHash)
	return append(message, byte(entry.ClassTag), clampByte(entry.Value*255), clampByte((now-entry.At)/entryAgeStepS))
}

// parseEntry reads an entry of EntryLen bytes that was received at now.
func parseEntry(b []byte, now float64) GossipEntry {
	return GossipEntry{BackendHash: binary.BigEndian.Uint16(b), ClassTag: int(b[2]), Value: float64(b[3]) / 255,
		At: now - float64(b[4])*entryAgeStepS}
}

// AppendLoadShedState appends the sender's load-shedding level, 0 to 1, and phase, if the message has space for it.
func AppendLoadShedState(message []byte, level float64, phase uint8) []byte {
	if len(message)+EntryLen > MaxLen {
		return message
	}
	return append(message, loadShedHash>>8, loadShedHash&255, UtilizationTag, levelByte(level), phase)
}

// OverwriteLoadShedState replaces the level and phase in a message, if it has them. It is for tests with gateways that report a wrong
// state.
func OverwriteLoadShedState(message []byte, level float64, phase uint8) {
	if len(message) < HeaderLen || message[0] != Version {
		return
	}
	for at := HeaderLen + int(message[RecordCountOffset])*RecordLen; at+EntryLen <= len(message); at += EntryLen {
		if message[at] == loadShedHash>>8 && message[at+1] == loadShedHash&255 && message[at+2] == UtilizationTag {
			message[at+3], message[at+4] = levelByte(level), phase
		}
	}
}

func levelByte(level float64) byte { return byte(math.Round(Clamp(level, 0, 1) * 255)) }

// LoadShedState returns the sender's load-shedding level and phase from an entry that Parse has read at now; ok is false for any other
// entry.
func (e GossipEntry) LoadShedState(now float64) (level float64, phase uint8, ok bool) {
	phase = uint8(math.Round((now - e.At) / entryAgeStepS))
	return e.Value, phase, e.BackendHash == loadShedHash && e.ClassTag == UtilizationTag
}

// Gossip holds the entries that a gateway passes on to its peers, newest last.
type Gossip []GossipEntry

// Add adds an entry, and drops the oldest one beyond maxGossipEntries.
func (g *Gossip) Add(entry GossipEntry) {
	if *g = append(*g, entry); len(*g) > maxGossipEntries {
		*g = (*g)[1:]
	}
}

// AppendNewest appends the newest entries to a message, newest first, as far as there is space: maxEntries at most, and only those that
// are younger than maxAgeS seconds.
func (g Gossip) AppendNewest(message []byte, maxEntries int, now, maxAgeS float64) []byte {
	for i := len(g) - 1; i >= max(0, len(g)-maxEntries) && len(message)+EntryLen <= MaxLen; i-- {
		if now-g[i].At < maxAgeS {
			message = AppendGossipEntry(message, g[i], now)
		}
	}
	return message
}
