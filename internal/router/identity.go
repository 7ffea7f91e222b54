package router

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/peer"
)

// originOffset is where a request id carries the hash of the instance that
// accepted it, so that any router finds the request of a reconnecting caller
// without asking all of them.
const originOffset = 12

// newRequestID returns a random UUID whose last four bytes name the instance.
func newRequestID(self fleet.InstanceID) fleet.RequestID {
	id := uuid.New()
	binary.BigEndian.PutUint32(id[originOffset:], originHash(self))
	return fleet.RequestID(id.String())
}

func originHash(instance fleet.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(instance)))
}

// findOrigins returns the members that may have accepted a request.
func findOrigins(id fleet.RequestID, members []peer.Member) []fleet.InstanceID {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return nil
	}
	hash := binary.BigEndian.Uint32(parsed[originOffset:])
	var origins []fleet.InstanceID
	for _, m := range members {
		if originHash(m.Instance) == hash {
			origins = append(origins, m.Instance)
		}
	}
	return origins
}

// requestFingerprint identifies the content of a request: what could crash an engine.
func requestFingerprint(s Submission) fleet.Fingerprint {
	text := fmt.Sprintf("%s\x00%s\x00%s\x00%d\x00%s", s.Team, s.Service, s.Adapter, s.MaxTokens, s.Prompt)
	return fleet.Fingerprint(xxhash.Sum64String(text))
}
