package lease

import "time"

// Message is an input of Machine.
type Message interface{ leaseMessage() }

// Wanted is a shard that the node may acquire.
type Wanted struct {
	Shard Shard
	// ChecksFencing reports whether the endpoints refuse old fencing tokens.
	ChecksFencing bool
	// Local reports whether the node is in the data centre of the shard; a node
	// elsewhere waits longer before it acquires.
	Local bool
}

// SetWanted replaces the set of wanted shards.
type SetWanted struct{ Shards []Wanted }

// EntriesRead carries entries of the lease stream in order. CaughtUp reports
// whether the reader has reached the end of the stream.
type EntriesRead struct {
	Entries  []Entry
	CaughtUp bool
}

// AppendFailed reports that an append had no effect. An append with an unknown
// outcome is not reported: its record appears in the stream or it doesn't.
type AppendFailed struct{ ID string }

// Tick reports that the timer of the last SetTimer has fired.
type Tick struct{}

// Leave releases all shards. The caller must stop every sender of orders before
// it sends Leave, because granted permits stay valid.
type Leave struct{}

func (SetWanted) leaseMessage()    {}
func (EntriesRead) leaseMessage()  {}
func (AppendFailed) leaseMessage() {}
func (Tick) leaseMessage()         {}
func (Leave) leaseMessage()        {}

// Action is an output of Machine.
type Action interface{ leaseAction() }

// Append appends one record to the lease stream.
type Append struct{ Record Record }

// PermitGranted grants or extends a permit.
type PermitGranted struct{ Permit Permit }

// PermitEnded reports that the permit of a shard has ended.
type PermitEnded struct{ Shard Shard }

// SetTimer requests a Tick at At; it replaces an earlier timer.
type SetTimer struct{ At time.Duration }

func (Append) leaseAction()        {}
func (PermitGranted) leaseAction() {}
func (PermitEnded) leaseAction()   {}
func (SetTimer) leaseAction()      {}

// Permit allows its holder to issue orders in a shard from From until Until,
// both in the holder's monotonic time. The sender of an order must check Allows
// right before it sends.
type Permit struct {
	Shard Shard
	Fence Fence
	From  time.Duration
	Until time.Duration
}

// Allows reports whether an order may be sent at now.
func (p Permit) Allows(now time.Duration) bool { return p.From <= now && now < p.Until }
