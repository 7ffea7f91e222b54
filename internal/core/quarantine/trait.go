// Package quarantine decides which requests are refused because they crash the
// endpoints that run them. A Table holds the crashes and the requests that were
// running, and finds the cause; a Register holds what is refused and for how long. A
// Fold does the same over the records of a log.
package quarantine

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// TraitKind is a kind of Trait.
type TraitKind uint8

// Kinds of trait.
const (
	// WholeRequest is everything that a request consists of. Its ID is the request's
	// fingerprint.
	WholeRequest TraitKind = iota
	// PromptPart is one part of the prompt of a model request. Its ID is the part's.
	PromptPart
)

// LastTraitKind is the highest kind that this version of the program knows.
const LastTraitKind = PromptPart

// Trait is a property of a request that may be the cause of crashes.
type Trait struct {
	Kind TraitKind
	ID   uint64
}

// RequestTrait returns the trait that only requests with the fingerprint have.
func RequestTrait(f fleet.Fingerprint) Trait { return Trait{Kind: WholeRequest, ID: uint64(f)} }

// PartTrait returns the trait of all requests with a part in their prompt.
func PartTrait(id uint64) Trait { return Trait{Kind: PromptPart, ID: id} }

// String returns the form used in logs, such as "part:5c1e07a2".
func (t Trait) String() string {
	return [...]string{"request", "part"}[t.Kind] + ":" + strconv.FormatUint(t.ID, 16)
}

// JoinTraits returns the traits in the form used in logs.
func JoinTraits(traits []Trait) string {
	return strings.Join(lo.Map(traits, func(t Trait, _ int) string { return t.String() }), " ")
}

// CompareTraits orders traits.
func CompareTraits(a, b Trait) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// Event identifies one crash. An incarnation is one process of an endpoint, so it
// crashes at most once.
type Event struct {
	Endpoint    fleet.EndpointID
	Incarnation string
}
