package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/platform"
)

// rejoinShare is the share of the store's writes that the instances together take to register
// again.
const rejoinShare = 0.1

// joinThroughStore registers this instance in the store and posts the others to the task, again
// each time that the store may have forgotten it.
func (t *peersTask) joinThroughStore(ctx context.Context) error {
	for ctx.Err() == nil {
		t.register(ctx)
		select {
		case <-ctx.Done():
		case n := <-t.rejoin.Receive():
			spread := storelog.Spread(int(n), 1, t.process.deployment.StoreWritesPerSecond, rejoinShare)
			sleep(ctx, time.Duration(rand.Float64()*float64(spread)))
		}
	}
	return nil
}

// register writes the record of this instance and reads those of the others.
func (t *peersTask) register(ctx context.Context) {
	record := platform.Record{Key: t.process.deployment.Node, Value: formatInstance(t.process.deployment)}
	for registered := false; ctx.Err() == nil; {
		if !registered {
			_, err := t.process.store.Append(ctx, platform.TopicMembers, record)
			registered = err == nil
		}
		batch, err := t.process.store.Newest(ctx, platform.TopicMembers)
		if err == nil && registered {
			_ = t.discovered.Send(ctx, parseInstances(batch.Records))
			return
		}
		sleep(ctx, time.Second)
	}
}

// formatInstance returns the content of the record of an instance: its address, data centre
// and bandwidth.
func formatInstance(d platform.Deployment) []byte {
	return fmt.Appendf(nil, "%s %s %d", d.IP, d.DataCentre, int64(d.LinkBytesPerSecond))
}

// parseInstances decodes the records of instances. Those of older versions have an address
// only. Malformed ones are left out.
func parseInstances(records []platform.Record) []exchange.Instance {
	return lo.FilterMap(records, func(r platform.Record, _ int) (exchange.Instance, bool) {
		fields := append(strings.Fields(string(r.Value)), "", "", "")
		a, err := netip.ParseAddr(fields[0])
		bandwidth, _ := strconv.ParseInt(fields[2], 10, 64) // 0 if it is not stated
		return exchange.Instance{
			Address: exchange.Address(a.String()), Node: r.Key, DataCentre: fleet.DataCentre(fields[1]), Bandwidth: bandwidth,
		}, err == nil
	})
}
