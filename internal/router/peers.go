package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/member"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/follow"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/task"
)

// logRetention is the minimum retention of the log service, which the claim
// stream requires.
const logRetention = 24 * time.Hour

// Active is the active configuration as the front end reads it. It is replaced
// atomically.
type Active = follow.Active

// peering holds the tasks that connect this router to other own instances.
type peering struct {
	settings   *Settings
	directory  *peer.Directory
	follower   *follow.Follower
	membership *peer.Membership
}

func (s *Settings) identity() member.Identity {
	return member.Identity{
		Instance: fleet.InstanceID(s.Instance), DataCentre: fleet.DataCentre(s.DataCentre),
		Region: fleet.Region(s.Region), Address: s.PeerListen,
	}
}

func (s *Settings) identities() []member.Identity {
	return lo.Map(s.Peers, func(p PeerSettings, _ int) member.Identity {
		return member.Identity{
			Instance: fleet.InstanceID(p.Instance), DataCentre: fleet.DataCentre(p.DataCentre),
			Region: fleet.Region(p.Region), Address: p.Address,
		}
	})
}

// checkPeers reports addresses that membership datagrams cannot use.
func (s *Settings) checkPeers() error {
	for _, id := range append(s.identities(), s.identity()) {
		address, err := netip.ParseAddrPort(id.Address)
		if err != nil || address.Addr().IsUnspecified() {
			return daemon.Error.New("peer address %q of instance %s is not an IP address and port that other instances can reach; set peer_listen or peers.address to one",
				id.Address, id.Instance)
		}
	}
	return nil
}

func newPeering(i do.Injector) (*peering, error) {
	s := do.MustInvoke[*Settings](i)
	env := do.MustInvoke[*daemon.Env](i)
	clock := do.MustInvoke[task.Clock](i)
	gate := do.MustInvoke[*readinessGate](i)
	p := &peering{settings: s, directory: do.MustInvoke[*peer.Directory](i)}
	dispatcher := do.MustInvoke[*dispatcher](i).mailbox
	p.follower = follow.New(follow.Options{
		Self:   config.Node{Instance: fleet.InstanceID(s.Instance), DataCentre: fleet.DataCentre(s.DataCentre)},
		Policy: config.CheckpointPolicyFor(logRetention), Log: s.Log, LookupAddress: p.addressOf,
		Clock: clock, Logger: env.Log, Metrics: env.Metrics, Active: do.MustInvoke[*Active](i),
		OnActive: func(ctx context.Context, spec *config.Spec) {
			_ = dispatcher.Send(ctx, dispatcherMessage{message: dispatch.Configure{Spec: spec}})
			gate.setConfigured()
			if p.membership != nil {
				p.membership.SetNumber(spec.Number)
			}
		},
		OnStatus: reportReadiness(env.Ready),
	})
	if s.PeerListen == "" {
		return p, nil
	}
	if err := s.checkPeers(); err != nil {
		return nil, err
	}
	now := time.Now()
	p.membership = peer.NewMembership(peer.MembershipOptions{
		Machine: member.New(member.Options{
			Self: s.identity(), Peers: s.identities(),
			Incarnation: uint64(now.Unix()), Seed: uint64(now.UnixNano()),
		}),
		Listen: s.PeerListen, Directory: p.directory, Clock: clock, Logger: env.Log, Metrics: env.Metrics,
		OnNodes: p.follower.SetNodes, OnNumber: p.follower.PeerNumber,
	})
	return p, nil
}

// start starts the tasks and the peer server with the given further services.
func (p *peering) start(group *task.Group, services ...peer.Service) {
	p.follower.Start(group)
	if p.membership == nil {
		return
	}
	operator := &operatorHandler{self: p.settings.Instance, follower: p.follower, membership: p.membership}
	services = append(services, p.follower.Register, operator.register)
	group.Go("membership", p.membership.Run)
	group.Go("peer server", func(ctx context.Context) error {
		return peer.Serve(ctx, p.settings.PeerListen, services...)
	})
}

// announceLeaving announces to the other instances that this one drains.
func (p *peering) announceLeaving(ctx context.Context) {
	if p.membership != nil {
		p.membership.Leave(ctx)
	}
}

func (p *peering) addressOf(id fleet.InstanceID) (string, bool) {
	found, ok := lo.Find(p.directory.Members(), func(m peer.Member) bool { return m.Instance == id })
	return found.Address, ok
}

// reportReadiness returns a callback that sets the reason while no configuration
// is active. readinessGate reports the process ready; after that only draining
// changes the readiness.
func reportReadiness(ready *daemon.Readiness) func(config.FollowerStatus) {
	configured := false
	return func(s config.FollowerStatus) {
		switch {
		case configured:
		case s.HasConfig:
			configured = true
		case s.Gap:
			ready.Set("no configuration is active: ticket records expired and no checkpoint or peer covers them")
		case s.LogDown:
			ready.Set("no configuration is active: the log service is down and no peer holds one yet")
		}
	}
}
