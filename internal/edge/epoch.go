package edge

import (
	"context"

	"github.com/apex/log"
)

// followEpoch tells the tasks whose state rests on the store of each epoch that begins. Followers of
// topics read them anew with their next read.
func (p *process) followEpoch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-p.store.EpochObserved():
			p.metrics.storeEpoch.Set(float64(event.Epoch))
			p.log.WithFields(log.Fields{"epoch": event.Epoch, "previous": event.Previous, "first": event.First}).Info("epoch of the store began")
			_ = p.duties.mailbox.Send(ctx, event)
			if event.First {
				continue
			}
			_ = p.crashes.mailbox.Send(ctx, event)
			_ = p.peers.storeReturned.Send(ctx, event)
			p.triggerFollowers()
		}
	}
}

// triggerFollowers makes the followers read at once if this instance reads the store for its data
// centre. The others learn from it, so that not all read at the same time.
func (p *process) triggerFollowers() {
	if p.list.isReader.Load() {
		triggerRead(p.listTrigger)
	}
	if p.untilConfigRead() <= 0 {
		triggerRead(p.configTrigger)
	}
}
