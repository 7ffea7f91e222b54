package edge

import (
	"context"

	"github.com/apex/log"
)

// followEra tells the tasks whose state rests on the store of each era that begins.
func (p *process) followEra(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-p.store.EraObserved():
			p.metrics.storeEra.Set(float64(event.Era))
			p.log.WithFields(log.Fields{"era": event.Era, "previous": event.Previous, "first": event.First}).Info("era of the store began")
			_ = p.duties.mailbox.Send(ctx, event)
		}
	}
}
