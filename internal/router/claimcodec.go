package router

import (
	"encoding/json"

	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Names of entry kinds and run states in the claim stream.
const (
	entryClaim   = "claim"
	entryRelease = "release"
	entryOutcome = "outcome"
)

// claimRecord is the JSON form of one record of the claim stream.
type claimRecord struct {
	Entries []claimEntry `json:"entries"`
}

type claimEntry struct {
	Kind        string        `json:"kind"`
	Team        string        `json:"team"`
	Key         uuid.UUID     `json:"key"`
	Attempt     string        `json:"attempt"`
	Fingerprint uint64        `json:"fingerprint,omitempty"`
	Ran         bool          `json:"ran,omitempty"`
	Response    *callResponse `json:"response,omitempty"`
}

// callResponse is the JSON form of a recorded response.
type callResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"`
}

func encodeClaims(entries []claim.Entry) claimRecord {
	record := claimRecord{Entries: make([]claimEntry, 0, len(entries))}
	for _, entry := range entries {
		key, attempt := entry.Subject()
		e := claimEntry{Team: string(key.Team), Key: uuid.UUID(key.ID), Attempt: string(attempt)}
		switch entry := entry.(type) {
		case claim.Claim:
			e.Kind = entryClaim
			e.Fingerprint = uint64(entry.Fingerprint)
		case claim.Release:
			e.Kind = entryRelease
		case claim.Outcome:
			e.Kind = entryOutcome
			e.Ran = entry.Run == fleet.RunRan
			e.Response = encodeResponse(entry.Response)
		}
		record.Entries = append(record.Entries, e)
	}
	return record
}

func encodeResponse(r claim.Response) *callResponse {
	response := callResponse(r)
	return &response
}

// decodeClaims returns the entries of a record. Malformed records and entries of
// an unknown kind are ignored by all readers.
func decodeClaims(data []byte) []claim.Entry {
	var record claimRecord
	if json.Unmarshal(data, &record) != nil {
		return nil
	}
	entries := make([]claim.Entry, 0, len(record.Entries))
	for _, e := range record.Entries {
		key := claim.Key{Team: fleet.TeamName(e.Team), ID: claim.KeyID(e.Key)}
		attempt := claim.AttemptID(e.Attempt)
		switch e.Kind {
		case entryClaim:
			entries = append(entries, claim.Claim{Key: key, Attempt: attempt, Fingerprint: fleet.Fingerprint(e.Fingerprint)})
		case entryRelease:
			entries = append(entries, claim.Release{Key: key, Attempt: attempt})
		case entryOutcome:
			entries = append(entries, decodeOutcome(key, attempt, e))
		}
	}
	return entries
}

func decodeOutcome(key claim.Key, attempt claim.AttemptID, e claimEntry) claim.Outcome {
	outcome := claim.Outcome{Key: key, Attempt: attempt}
	if e.Ran && e.Response != nil {
		outcome.Run = fleet.RunRan
		outcome.Response = claim.Response(*e.Response)
	}
	return outcome
}
