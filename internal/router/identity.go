package router

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/peer"
)

// originOffset is the byte offset of the hash of the accepting instance in a
// request id. With it, any router finds the request of a reconnecting caller
// without querying all routers.
const originOffset = 12

// newRequestID returns a random UUID whose last four bytes are the hash of the
// instance.
func newRequestID(self fleet.InstanceID) fleet.RequestID {
	id := uuid.New()
	binary.BigEndian.PutUint32(id[originOffset:], originHash(self))
	return fleet.RequestID(id.String())
}

func originHash(instance fleet.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(instance)))
}

// findOrigins returns the members that may have accepted a request: those whose
// hash is in its id.
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

// requestFingerprint returns a hash of the content of a request, by which
// requests that crash engines are quarantined.
func requestFingerprint(s Submission) fleet.Fingerprint {
	text := fmt.Sprintf("%s\x00%s\x00%s\x00%d\x00%s", s.Team, s.Service, s.Adapter, s.MaxTokens, s.Prompt)
	return fleet.Fingerprint(xxhash.Sum64String(text))
}
