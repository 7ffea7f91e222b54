package edge

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// allowanceInterval is the time between two records of the use of the
	// allowances, nearLimitInterval the same while a team comes near its limit.
	// What is used between the last record and a loss of all instances is not
	// in it.
	allowanceInterval = 1500 * time.Millisecond
	nearLimitInterval = 250 * time.Millisecond
	// useFor is how long the use of an instance that fell silent is recorded.
	useFor = 10 * time.Second
	// recallFor bounds how long an instance waits for the record at its start.
	recallFor    = 1500 * time.Millisecond
	allowanceKey = "use"
)

type instanceUse struct {
	used map[fleet.TeamName]quota.Usage
	at   time.Duration
}

// saveAllowances records what all instances used, so that instances that are
// started again do not grant it a second time.
func (t *dutiesTask) saveAllowances(ctx context.Context, now time.Duration) {
	interval := allowanceInterval
	if t.nearLimit() {
		interval = nearLimitInterval
	}
	if t.saving || now < t.savedAt+interval {
		return
	}
	m := &cornelholdv1.AllowanceUse{WallMs: t.base.TrueTime(now).Milliseconds()}
	for node, u := range t.use {
		if now-u.at > useFor {
			delete(t.use, node)
			continue
		}
		m.Instances = append(m.Instances, &cornelholdv1.InstanceUse{Node: node, Use: encodeUse(u.used)})
	}
	value, err := proto.Marshal(m)
	if err != nil {
		t.log.WithError(err).Warn("use of the allowances not recorded")
		return
	}
	t.saving, t.savedAt = true, now
	t.call(ctx, func() func(time.Duration) {
		_, err := t.store.Append(ctx, platform.TopicQuotaUse, platform.Record{Key: allowanceKey, Value: value})
		if err != nil {
			t.log.WithError(err).Warn("use of the allowances not recorded")
		}
		return func(time.Duration) { t.saving = false }
	})
}

// nearLimit reports whether any team comes near its allowance.
func (t *dutiesTask) nearLimit() bool {
	if t.state.Catalog == nil {
		return false
	}
	total := make(map[fleet.TeamName]float64)
	for _, u := range t.use {
		for team, use := range u.used {
			total[team] += use.Total()
		}
	}
	window := t.process.deployment.Bounds.QuotaWindow
	return slices.ContainsFunc(t.state.Catalog.Teams, func(team catalog.Team) bool {
		return quota.NearLimit(total[team.Name], team.Rate, team.Burst, window)
	})
}

// recallAllowances reads what this instance used before it was started again.
func (p *process) recallAllowances(ctx context.Context) error {
	deadline := p.clock.Now() + recallFor
	for ctx.Err() == nil {
		batch, err := p.store.Newest(ctx, platform.TopicQuotaUse)
		if err == nil {
			p.gateway.Post(ctx, p.recalled(batch.Records))
			return nil
		}
		if p.clock.Now() > deadline {
			p.log.WithError(err).Warn("use of the allowances before the start is not known; assuming none")
			p.gateway.Post(ctx, gateway.UsageRestored{})
			return nil
		}
		sleep(ctx, retryInterval)
	}
	return nil
}

func (p *process) recalled(records []platform.Record) gateway.UsageRestored {
	var m cornelholdv1.AllowanceUse
	if len(records) == 0 {
		return gateway.UsageRestored{}
	}
	if err := proto.Unmarshal(records[0].Value, &m); err != nil {
		p.log.WithError(err).Warn("record of the use of the allowances is malformed; assuming none")
		return gateway.UsageRestored{}
	}
	age := time.Since(time.UnixMilli(m.GetWallMs()))
	r := gateway.UsageRestored{
		Age: min(max(age, 0), p.deployment.Bounds.QuotaWindow), Others: make(map[fleet.TeamName]quota.Usage),
	}
	for _, i := range m.GetInstances() {
		if i.GetNode() == p.deployment.Node {
			r.Used = decodeUse(i.GetUse())
			continue
		}
		for team, use := range decodeUse(i.GetUse()) {
			r.Others[team] = r.Others[team].Plus(use)
		}
	}
	return r
}
