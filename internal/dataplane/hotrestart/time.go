package hotrestart

import (
	"encoding/binary"
	"math"
)

const timeBytes = 8 // of an encoded time

// EncodeTime returns the body of a Drain message for a time in Unix seconds.
func EncodeTime(at float64) []byte { return binary.BigEndian.AppendUint64(nil, math.Float64bits(at)) }

// DecodeTime is the inverse of EncodeTime.
func DecodeTime(body []byte) (at float64, err error) {
	if len(body) != timeBytes {
		return 0, ErrUnexpected
	}
	return math.Float64frombits(binary.BigEndian.Uint64(body)), nil
}
