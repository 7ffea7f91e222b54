package edge

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// quotaSaveInterval is the time between two records of the quota use,
	// nearLimitSaveInterval the same while a team is near its limit. If all
	// instances are lost, the use since the last record is lost with them.
	quotaSaveInterval     = 1500 * time.Millisecond
	nearLimitSaveInterval = 250 * time.Millisecond
	// quotaRestoreTimeout bounds the wait for the record at the start of an instance.
	quotaRestoreTimeout = 1500 * time.Millisecond
	quotaUseKey         = "use"
)

// saveQuotaUse records the quota use of all instances in the store, so that
// restarted instances do not grant the same quota again.
func (t *dutiesTask) saveQuotaUse(ctx context.Context, now time.Duration) {
	interval := quotaSaveInterval
	if t.nearLimit() {
		interval = nearLimitSaveInterval
	}
	if t.saving || now < t.savedAt+interval {
		return
	}
	value, err := t.quotaRecord()
	if err != nil {
		t.log.WithError(err).Warn("quota use not recorded")
		return
	}
	t.saving, t.savedAt = true, now
	t.call(ctx, func() func(time.Duration) {
		_, err := t.store.Append(ctx, platform.TopicQuotaUse, platform.Record{Key: quotaUseKey, Value: value})
		if err != nil {
			t.log.WithError(err).Warn("quota use not recorded")
		}
		return func(time.Duration) { t.saving = false }
	})
}

// quotaRecord returns the record of the quota use. Its size depends on the number of teams
// only.
func (t *dutiesTask) quotaRecord() ([]byte, error) {
	use := encodeUse(tally.Tally{Used: t.quotaUse.Used, Requested: t.quotaUse.Requested})
	value, err := proto.Marshal(&cornelholdv1.QuotaUse{
		WallMs: t.clock.TrueTime(t.quotaUseAt).Milliseconds(), Use: use, Instances: int32(t.quotaUse.Instances),
	})
	return value, Error.Wrap(err)
}

// nearLimit reports whether any team is near its quota.
func (t *dutiesTask) nearLimit() bool {
	if t.state.Catalog == nil {
		return false
	}
	window := t.process.deployment.Bounds.QuotaWindow
	return slices.ContainsFunc(t.state.Catalog.Teams, func(team catalog.Team) bool {
		return quota.NearLimit(t.quotaUse.Used[team.Name].Total(), team.Rate, team.Burst, window)
	})
}

// restoreQuotaUse restores the quota use from before a restart. If the store
// cannot be read in time, it assumes none.
func (p *process) restoreQuotaUse(ctx context.Context) error {
	deadline := p.clock.Now() + quotaRestoreTimeout
	for ctx.Err() == nil {
		batch, err := p.store.Newest(ctx, platform.TopicQuotaUse)
		if err == nil {
			p.gateway.Post(ctx, p.decodeQuotaUse(batch.Records))
			return nil
		}
		if p.clock.Now() > deadline {
			p.log.WithError(err).Warn("quota use before the start could not be read; assuming none")
			p.gateway.Post(ctx, gateway.UsageRestored{})
			return nil
		}
		sleep(ctx, retryInterval)
	}
	return nil
}

// decodeQuotaUse decodes the record of the quota use. The age is limited to the
// quota window because clocks may have been stepped.
func (p *process) decodeQuotaUse(records []platform.Record) gateway.UsageRestored {
	var m cornelholdv1.QuotaUse
	if len(records) == 0 {
		return gateway.UsageRestored{}
	}
	if err := proto.Unmarshal(records[0].Value, &m); err != nil {
		p.log.WithError(err).Warn("record of the quota use is malformed; assuming none")
		return gateway.UsageRestored{}
	}
	age := time.Since(time.UnixMilli(m.GetWallMs()))
	t := decodeTally(&cornelholdv1.Tally{Use: m.GetUse()})
	return gateway.UsageRestored{Record: quota.Record{
		Age: min(max(age, 0), p.deployment.Bounds.QuotaWindow), Used: t.Used, Requested: t.Requested,
		Instances: max(int(m.GetInstances()), 0),
	}}
}
