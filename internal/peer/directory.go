// Package peer carries messages between own instances: connect-go services
// over TCP and membership datagrams over UDP. It decides nothing.
package peer

import (
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Member is one own instance as the membership currently sees it.
type Member struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Address is the peer address, IP and port, of both TCP and UDP.
	Address string
	// Leaving members finish their work and accept no handoff.
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
