package config

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// FollowerMessage is an input of Follower.
type FollowerMessage interface{ followerMessage() }

// FollowerAction is an output of Follower.
type FollowerAction interface{ followerAction() }

// Messages to a follower.
type (
	// Start begins to follow.
	Start struct{}
	// Nodes replaces the list of live own instances.
	Nodes struct{ List []Node }
	// TicketsRead answers ReadTickets. Records are consecutive.
	TicketsRead struct{ Records []Record }
	// TicketsFailed reports that the log service did not answer a read.
	TicketsFailed struct{}
	// TicketsExpired reports that the requested offset is older than the
	// retention; First is the oldest offset that is still held.
	TicketsExpired struct{ First uint64 }
	// CheckpointsRead answers ReadCheckpoints with the checkpoint of the highest
	// number; nil if the log service holds none.
	CheckpointsRead struct{ Newest *Snapshot }
	// CheckpointsFailed reports that the checkpoints could not be read.
	CheckpointsFailed struct{}
	// CheckpointAppended reports that AppendCheckpoint took effect.
	CheckpointAppended struct{}
	// CheckpointFailed reports that AppendCheckpoint may not have taken effect.
	CheckpointFailed struct{}
	// PeerNumber reports the active ticket number that a peer announced.
	PeerNumber struct {
		Peer   fleet.InstanceID
		Number Number
	}
	// PeerAnswered answers FetchPeer.
	PeerAnswered struct {
		Peer   fleet.InstanceID
		Answer Answer
	}
	// PeerFailed reports that a peer did not answer FetchPeer.
	PeerFailed struct{ Peer fleet.InstanceID }
	// Pushed carries accepted tickets that a peer relayed.
	Pushed struct{ Records []Record }
	// Wake is sent at the time that WakeAt asked for.
	Wake struct{}
)

// Actions of a follower.
type (
	// ReadTickets reads the ticket stream by long poll.
	ReadTickets struct{ From uint64 }
	// ReadCheckpoints looks for the checkpoint with the highest number.
	ReadCheckpoints struct{}
	// AppendCheckpoint appends a checkpoint.
	AppendCheckpoint struct{ Snapshot *Snapshot }
	// FetchPeer asks a peer for what it holds after a number.
	FetchPeer struct {
		Peer  fleet.InstanceID
		After Number
		// Whole asks for the complete state with the offset that it covers.
		Whole bool
	}
	// Relay pushes newly accepted tickets to a peer. A push that fails is not
	// repeated; the peer repairs by FetchPeer.
	Relay struct {
		To      fleet.InstanceID
		Records []Record
	}
	// Activate replaces the active configuration. Records are the accepted
	// tickets that led to it, empty if a snapshot was adopted.
	Activate struct {
		Snapshot *Snapshot
		Records  []Record
	}
	// Folded reports the verdicts of the records that were folded.
	Folded struct{ Verdicts []Verdict }
	// Report is emitted when the status changes.
	Report struct{ Status FollowerStatus }
	// WakeAt asks for a Wake message; it replaces an earlier request.
	WakeAt struct{ At time.Duration }
)

// FollowerStatus describes the condition of a follower.
type FollowerStatus struct {
	// Known tells whether a configuration is active.
	Known bool
	// LogDown tells that the last read of the log service failed.
	LogDown bool
	// Gap tells that records have expired unread and no checkpoint or peer that
	// covers them was found yet. New tickets cannot become active meanwhile.
	Gap bool
}

// Answer is what a follower returns to the FetchPeer of another one.
type Answer struct {
	Number Number
	// Tickets continue after the requested number; if they are no longer held,
	// Snapshot is set instead.
	Tickets  []Record
	Snapshot *Snapshot
}

func (Start) followerMessage()              {}
func (Nodes) followerMessage()              {}
func (TicketsRead) followerMessage()        {}
func (TicketsFailed) followerMessage()      {}
func (TicketsExpired) followerMessage()     {}
func (CheckpointsRead) followerMessage()    {}
func (CheckpointsFailed) followerMessage()  {}
func (CheckpointAppended) followerMessage() {}
func (CheckpointFailed) followerMessage()   {}
func (PeerNumber) followerMessage()         {}
func (PeerAnswered) followerMessage()       {}
func (PeerFailed) followerMessage()         {}
func (Pushed) followerMessage()             {}
func (Wake) followerMessage()               {}

func (ReadTickets) followerAction()      {}
func (ReadCheckpoints) followerAction()  {}
func (AppendCheckpoint) followerAction() {}
func (FetchPeer) followerAction()        {}
func (Relay) followerAction()            {}
func (Activate) followerAction()         {}
func (Folded) followerAction()           {}
func (Report) followerAction()           {}
func (WakeAt) followerAction()           {}
