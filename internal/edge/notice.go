package edge

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/upstream"
	"github.com/cornelhold/cornelhold/platform"
)

// readNotice asks an endpoint when it is gone and posts the result.
func (t *gatewayTask) readNotice(a gateway.ReadNotice) {
	go func() {
		time.Sleep(a.At - t.clock.Now())
		leavesIn, err := callForNotice(t.pool, a.Endpoint, a.By-t.clock.Now())
		if err != nil {
			t.log.WithError(err).WithField("endpoint", string(a.Endpoint.ID)).Warn("notice of endpoint not read")
		}
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		t.Post(ctx, gateway.NoticeRead{Endpoint: a.Endpoint.ID, Started: a.Endpoint.Started, LeavesIn: leavesIn})
	}()
}

func callForNotice(pool *upstream.Pool, e catalog.Endpoint, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	switch event := upstream.Call(ctx, pool, e, platform.ReportCall()).(type) {
	case upstream.FullResponse:
		return platform.DecodeNotice(event.Status, event.Body)
	case upstream.Failed:
		return 0, event.Cause
	default:
		return 0, Error.New("got a stream for the report of an endpoint; a notice is assumed")
	}
}
