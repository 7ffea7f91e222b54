// Package peer carries messages between own instances: connect-go services
// over TCP and membership datagrams over UDP. The core packages make the
// decisions.
package peer

import (
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Member is an own instance in the current member list.
type Member struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Address is the peer address, IP and port, of both TCP and UDP.
	Address string
	// Leaving is set while the member finishes its work; it accepts no handoff.
	Leaving bool
}

// Directory is an atomically replaced list of the live members, the local
// instance included. The membership task writes it; other tasks read it.
type Directory struct {
	members atomic.Pointer[[]Member]
}

// NewDirectory returns a directory with the given members.
func NewDirectory(seeds []Member) *Directory {
	d := &Directory{}
	d.Replace(seeds)
	return d
}

// Replace publishes a new list. The caller must not modify it afterwards.
func (d *Directory) Replace(members []Member) { d.members.Store(&members) }

// Members returns the current list. It must not be modified.
func (d *Directory) Members() []Member { return *d.members.Load() }
