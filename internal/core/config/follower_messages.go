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
	// Start starts following.
	Start struct{}
	// Nodes replaces the list of live nodes.
	Nodes struct{ List []Node }
	// TicketsRead is the result of ReadTickets. Records are consecutive.
	TicketsRead struct{ Records []Record }
	// TicketsReadFailed reports that ReadTickets failed or timed out.
	TicketsReadFailed struct{}
	// TicketsExpired reports that the requested offset is older than the
	// retention. First is the oldest offset that the log service still holds.
	TicketsExpired struct{ First uint64 }
	// CheckpointsRead is the result of ReadCheckpoints: the checkpoint with the
	// highest number, nil if the log service holds none.
	CheckpointsRead struct{ Newest *Snapshot }
	// CheckpointsReadFailed reports that the checkpoints could not be read.
	CheckpointsReadFailed struct{}
	// CheckpointAppended reports that AppendCheckpoint succeeded.
	CheckpointAppended struct{}
	// CheckpointAppendFailed reports that AppendCheckpoint failed or that its
	// outcome is unknown.
	CheckpointAppendFailed struct{}
	// PeerNumber reports the active ticket number that a peer announced.
	PeerNumber struct {
		Peer   fleet.InstanceID
		Number Number
	}
	// PeerFetched is the result of FetchPeer.
	PeerFetched struct {
		Peer     fleet.InstanceID
		Response FetchResponse
	}
	// PeerFetchFailed reports that FetchPeer failed or timed out.
	PeerFetchFailed struct{ Peer fleet.InstanceID }
	// TicketsPushed carries accepted tickets that a peer relayed.
	TicketsPushed struct{ Records []Record }
	// Tick reports that the timer of SetTimer has fired.
	Tick struct{}
)

// Actions of a follower.
type (
	// ReadTickets reads the ticket stream by long poll.
	ReadTickets struct{ From uint64 }
	// ReadCheckpoints reads the checkpoint with the highest number.
	ReadCheckpoints struct{}
	// AppendCheckpoint appends a checkpoint.
	AppendCheckpoint struct{ Snapshot *Snapshot }
	// FetchPeer requests from a peer the tickets after a number.
	FetchPeer struct {
		Peer  fleet.InstanceID
		After Number
		// Complete requests the complete state with the offset that it covers.
		Complete bool
	}
	// Relay pushes newly accepted tickets to a peer. A push that fails is not
	// repeated; the peer obtains the tickets by FetchPeer.
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
	// ReportVerdicts reports the verdicts of the records that were folded.
	ReportVerdicts struct{ Verdicts []Verdict }
	// ReportStatus is emitted when the status changes.
	ReportStatus struct{ Status FollowerStatus }
	// SetTimer requests a Tick at At; it replaces an earlier timer.
	SetTimer struct{ At time.Duration }
)

// FollowerStatus describes the condition of a follower.
type FollowerStatus struct {
	// HasConfig tells whether a configuration is active.
	HasConfig bool
	// LogDown tells that the last read of the log service failed.
	LogDown bool
	// Gap tells that records expired unread and that no checkpoint or peer that
	// covers them has been found. New tickets cannot become active meanwhile.
	Gap bool
}

// FetchResponse is a follower's response to FetchPeer of another follower.
type FetchResponse struct {
	Number Number
	// Tickets are those after the requested number; if they are no longer
	// cached, Snapshot is set instead.
	Tickets  []Record
	Snapshot *Snapshot
}

func (Start) followerMessage()                  {}
func (Nodes) followerMessage()                  {}
func (TicketsRead) followerMessage()            {}
func (TicketsReadFailed) followerMessage()      {}
func (TicketsExpired) followerMessage()         {}
func (CheckpointsRead) followerMessage()        {}
func (CheckpointsReadFailed) followerMessage()  {}
func (CheckpointAppended) followerMessage()     {}
func (CheckpointAppendFailed) followerMessage() {}
func (PeerNumber) followerMessage()             {}
func (PeerFetched) followerMessage()            {}
func (PeerFetchFailed) followerMessage()        {}
func (TicketsPushed) followerMessage()          {}
func (Tick) followerMessage()                   {}

func (ReadTickets) followerAction()      {}
func (ReadCheckpoints) followerAction()  {}
func (AppendCheckpoint) followerAction() {}
func (FetchPeer) followerAction()        {}
func (Relay) followerAction()            {}
func (Activate) followerAction()         {}
func (ReportVerdicts) followerAction()   {}
func (ReportStatus) followerAction()     {}
func (SetTimer) followerAction()         {}
