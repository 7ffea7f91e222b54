package lease

import "time"

// Message is an input of Machine.
type Message interface{ leaseMessage() }

// Wanted is a shard that the node is ready to hold.
type Wanted struct {
	Shard Shard
	// ChecksFencing tells whether the endpoints refuse old fencing numbers.
	ChecksFencing bool
	// Local tells whether the node is in the data centre of the shard; a node
	// elsewhere waits longer before it acquires.
	Local bool
}

// SetWanted replaces the set of wanted shards.
type SetWanted struct{ Shards []Wanted }

// EntriesRead delivers entries read from the lease stream in order. CaughtUp tells
// that the reader reached the end of the stream.
type EntriesRead struct {
	Entries  []Entry
	CaughtUp bool
}

// AppendFailed tells that an append certainly had no effect. An append with an
// unknown outcome is not reported: its record is found in the stream or not.
type AppendFailed struct{ ID string }

// Tick tells that the time of the last WakeAt has come.
type Tick struct{}

// Leave gives up all shards. The caller must have ended every sender of orders
// before it sends Leave, because permits that were handed out stay valid.
type Leave struct{}

func (SetWanted) leaseMessage()    {}
func (EntriesRead) leaseMessage()  {}
func (AppendFailed) leaseMessage() {}
func (Tick) leaseMessage()         {}
func (Leave) leaseMessage()        {}

// Action is an output of Machine.
type Action interface{ leaseAction() }

// Append asks for one append to the lease stream.
type Append struct{ Record Record }

// Granted hands out or extends a permit.
type Granted struct{ Permit Permit }

// Lost tells that a shard's permit has ended.
type Lost struct{ Shard Shard }

// SetTimer asks for a Tick at the given time.
type SetTimer struct{ At time.Duration }

func (Append) leaseAction()   {}
func (Granted) leaseAction()  {}
func (Lost) leaseAction()     {}
func (SetTimer) leaseAction() {}

// Permit allows its holder to issue orders in a shard from From until Until,
// both in the holder's monotonic time. The sender of an order checks Allows
// at the moment of sending.
type Permit struct {
	Shard Shard
	Fence Fence
	From  time.Duration
	Until time.Duration
}

// Allows reports whether an order may be sent at now.
func (p Permit) Allows(now time.Duration) bool { return p.From <= now && now < p.Until }
