package edge

import (
	"context"

	"github.com/apex/log"
)

// followEra logs each era of the store that begins.
func (p *process) followEra(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-p.store.EraObserved():
			p.metrics.storeEra.Set(float64(event.Era))
			p.log.WithFields(log.Fields{"era": event.Era, "previous": event.Previous, "first": event.First}).Info("era of the store began")
		}
	}
}
