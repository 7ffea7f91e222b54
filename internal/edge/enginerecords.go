package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/platform"
)

// engineSaveInterval is the least time between two appends of the speeds of engines.
const engineSaveInterval = 3 * time.Second

// engineRecords is the state of the records of the speeds of engines.
type engineRecords struct {
	recorder *enginemodel.Recorder
	// own and others are what this instance and the others learned.
	own, others enginemodel.Sums
	saving      bool
	savedAt     time.Duration
}

// saveEngines records the speeds of engines that have changed, so that instances know them after a
// restart of all.
func (t *dutiesTask) saveEngines(ctx context.Context, now time.Duration) {
	if t.engines.saving || now < t.engines.savedAt+engineSaveInterval {
		return
	}
	sums := enginemodel.NewSums()
	sums.Add(t.engines.own)
	sums.Add(t.engines.others)
	due := t.engines.recorder.Due(sums)
	if len(due) == 0 {
		return
	}
	records, err := newEngineRecords(due, sums)
	if err != nil {
		t.log.WithError(err).Warn("speeds of engines not recorded")
		return
	}
	t.engines.saving, t.engines.savedAt = true, now
	t.call(ctx, func() func(time.Duration) {
		_, err := t.store.Append(ctx, platform.TopicEngines, records...)
		return func(time.Duration) {
			t.engines.saving = false
			if err != nil {
				t.log.WithError(err).Warn("speeds of engines not recorded")
				return
			}
			for _, name := range due {
				t.engines.recorder.Recorded(name, sums.Services[name])
			}
			t.log.WithField("services", due).Info("speeds of engines recorded")
		}
	})
}

func newEngineRecords(services []fleet.ServiceName, sums enginemodel.Sums) ([]platform.Record, error) {
	var records []platform.Record
	for _, name := range services {
		value, err := encodeEngineRecord(name, sums)
		if err != nil {
			return nil, err
		}
		records = append(records, platform.Record{Key: string(name), Value: value})
	}
	return records, nil
}

// restoreEngines reads the speeds of engines from before the start. Requests do not wait for it.
func (p *process) restoreEngines(ctx context.Context) error {
	interval := retryInterval
	for ctx.Err() == nil {
		batch, err := p.store.Newest(ctx, platform.TopicEngines)
		if err == nil {
			sums, malformed := decodeEngineRecords(batch.Records)
			p.log.WithFields(log.Fields{"services": len(sums.Services), "malformed": malformed}).Info("speeds of engines restored")
			p.gateway.Post(ctx, gateway.EnginesRestored{Engines: sums})
			return nil
		}
		sleep(ctx, interval)
		interval = min(2*interval, maxRestoreInterval)
	}
	return nil
}
