package edge

import (
	"time"

	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// encodeExchange adds a message of the exchange to a datagram.
func encodeExchange(m exchange.Message, into *cornelholdv1.InstanceReport) {
	into.Node, into.Boot, into.Ip = m.Sender.Node, m.Boot, string(m.Sender.Address)
	into.DataCentre, into.UptimeMs = string(m.Sender.DataCentre), m.Uptime.Milliseconds()
	into.Bandwidth = m.Sender.Bandwidth
	into.Leaving, into.Held = m.Leaving, m.Holder
	into.Carriers = lo.Map(m.Carriers, func(c exchange.Carrier, _ int) *cornelholdv1.InstanceAddress {
		a := encodeInstance(c.Instance, 0)
		a.Holder = c.Holder
		return a
	})
	into.Known = lo.Map(m.Known, encodeInstance)
	if m.Report != nil {
		into.Report = &cornelholdv1.OwnReport{
			Sequence: m.Report.Sequence, WantsFeed: m.Report.WantsFeed, Tally: encodeTally(m.Report.Tally),
		}
	}
	if m.Digest != nil {
		into.Digest = &cornelholdv1.CentreDigest{Reached: encodeGroup(m.Digest.Reached), Lost: encodeGroup(m.Digest.Lost)}
	}
	if m.Feed != nil {
		into.Feed = &cornelholdv1.DeploymentFeed{
			Reached: encodeGroup(m.Feed.Reached), Lost: encodeGroup(m.Feed.Lost), Included: m.Feed.Included,
			CarrierNodes:     m.Feed.CarrierNodes,
			CarrierAddresses: lo.Map(m.Feed.CarrierAddresses, func(a exchange.Address, _ int) string { return string(a) }),
		}
	}
}

// decodeExchange returns the message of the exchange in a datagram that came from an address.
func decodeExchange(from string, m *cornelholdv1.InstanceReport) exchange.Message {
	e := exchange.Message{
		Sender: exchange.Instance{
			Address: exchange.Address(from), Node: m.GetNode(), DataCentre: fleet.DataCentre(m.GetDataCentre()),
			Bandwidth: m.GetBandwidth(),
		},
		Boot: m.GetBoot(), Uptime: age(m.GetUptimeMs()), Leaving: m.GetLeaving(), Holder: m.GetHeld(),
		Carriers: lo.Map(m.GetCarriers(), func(a *cornelholdv1.InstanceAddress, _ int) exchange.Carrier {
			return exchange.Carrier{Instance: decodeInstance(a, 0), Holder: a.GetHolder()}
		}),
		Known: lo.Map(m.GetKnown(), decodeInstance),
	}
	if r := m.GetReport(); r != nil {
		e.Report = &exchange.Report{Sequence: r.GetSequence(), WantsFeed: r.GetWantsFeed(), Tally: decodeTally(r.GetTally())}
	}
	if d := m.GetDigest(); d != nil {
		e.Digest = &exchange.Digest{Reached: decodeGroup(d.GetReached()), Lost: decodeGroup(d.GetLost())}
	}
	if f := m.GetFeed(); f != nil {
		e.Feed = &exchange.Feed{
			Reached: decodeGroup(f.GetReached()), Lost: decodeGroup(f.GetLost()), Included: f.GetIncluded(),
			CarrierNodes:     f.GetCarrierNodes(),
			CarrierAddresses: lo.Map(f.GetCarrierAddresses(), func(a string, _ int) exchange.Address { return exchange.Address(a) }),
		}
	}
	return e
}

func encodeInstance(i exchange.Instance, _ int) *cornelholdv1.InstanceAddress {
	return &cornelholdv1.InstanceAddress{Address: string(i.Address), Node: i.Node, DataCentre: string(i.DataCentre), Bandwidth: i.Bandwidth}
}

func decodeInstance(a *cornelholdv1.InstanceAddress, _ int) exchange.Instance {
	return exchange.Instance{
		Address: exchange.Address(a.GetAddress()), Node: a.GetNode(), DataCentre: fleet.DataCentre(a.GetDataCentre()),
		Bandwidth: a.GetBandwidth(),
	}
}

// encodeClocks and decodeClocks translate the clocks of some instances.
func encodeClocks(clocks []duty.ClockReading) []*cornelholdv1.ClockReading {
	return lo.Map(clocks, func(c duty.ClockReading, _ int) *cornelholdv1.ClockReading {
		return &cornelholdv1.ClockReading{Node: c.Node, WallMs: c.Wall.Milliseconds()}
	})
}

func decodeClocks(clocks []*cornelholdv1.ClockReading) []duty.ClockReading {
	return lo.Map(clocks, func(c *cornelholdv1.ClockReading, _ int) duty.ClockReading {
		return duty.ClockReading{Node: c.GetNode(), Wall: time.Duration(c.GetWallMs()) * time.Millisecond}
	})
}
