// Package exchange decides which instance sends which news to which other one, so that
// each instance knows the sums of what all others admitted and sent. It is a state
// machine without input or output; the current time is passed in.
//
// The live instances of a data centre with the lowest ranks are its carriers. Each
// instance reports to the carriers of its data centre. A carrier adds up its data centre
// in a digest for the carriers of the others, and feeds the sums of the whole deployment
// to the instances that chose it. An instance subtracts its own part of a feed, so that
// nothing is counted twice.
package exchange

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// Address is the network address of an instance, as text.
type Address string

// Instance identifies an instance.
type Instance struct {
	Address    Address
	Node       string
	DataCentre fleet.DataCentre
	// Bandwidth is that of its network link in bytes a second. Instances with the highest
	// one are preferred as carriers.
	Bandwidth int64
}

// Carrier is a carrier of a data centre. Holder is set while it holds the lease of the
// duties, because of which it is a carrier whatever its rank.
type Carrier struct {
	Instance
	Holder bool
}

// Message is what one instance sends to another.
type Message struct {
	Sender Instance
	// Boot differs between two starts of the same instance, Uptime is the time since
	// the start.
	Boot   string
	Uptime time.Duration
	// Leaving is set once the sender is shutting down, Holder while it holds the
	// lease of the duties.
	Leaving, Holder bool
	// Carriers are those of the sender's data centre as far as it knows.
	Carriers []Carrier
	// Known is a sample of the instances whose addresses the sender knows.
	Known []Instance
	// Report, Digest and Feed are nil unless the message contains them.
	Report *Report
	Digest *Digest
	Feed   *Feed
}

// NamesSender reports whether the sender states that it is a carrier.
func (m Message) NamesSender() bool {
	return slices.ContainsFunc(firstCarriers(m.Carriers), func(c Carrier) bool { return c.Address == m.Sender.Address })
}

// Report is what an instance states of itself to a carrier.
type Report struct {
	// Sequence increases with each report of a boot.
	Sequence uint64
	// WantsFeed asks the receiver for feeds.
	WantsFeed bool
	Tally     tally.Tally
}

// Digest is the sum of the data centre of its sender.
type Digest struct {
	// Reached are the instances that report to the sender, Lost those whose reports
	// have stopped recently.
	Reached, Lost tally.Group
}

// Feed is the sum of all data centres.
type Feed struct {
	Reached, Lost tally.Group
	// Included is the sequence of the receiver's report that Reached includes, 0 for
	// none.
	Included uint64
	// CarrierNodes are the carriers of all data centres, CarrierAddresses their addresses in the
	// same order, or empty if they are not known.
	CarrierNodes     []string
	CarrierAddresses []Address
}

// Input is an input of Exchange.
type Input interface{ input() }

// Tick makes an instance send what is due. It is passed in every Interval.
type Tick struct {
	Own             tally.Tally
	Leaving, Holder bool
}

// Received is a message of another instance.
type Received struct{ Message Message }

// Learned is an instance whose address became known. Only the address is required.
type Learned struct{ Instance Instance }

func (Tick) input()     {}
func (Received) input() {}
func (Learned) input()  {}

// Action is an output of Exchange.
type Action interface{ action() }

// Send sends a message to several instances.
type Send struct {
	To      []Address
	Message Message
}

// SendFeed sends a message to several instances, each with its own value of
// Feed.Included.
type SendFeed struct {
	To       []Address
	Included []uint64
	Message  Message
}

// Others are the sums over all other instances.
type Others struct {
	Reached, Lost tally.Group
	// Carrier is set if this instance is a carrier, which relays news.
	Carrier bool
	// CarrierNodes are the carriers of all data centres, CarrierAddresses their addresses in the
	// same order, or empty if they are not known.
	CarrierNodes     []string
	CarrierAddresses []Address
}

func (Send) action()     {}
func (SendFeed) action() {}
func (Others) action()   {}
