package edge

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/platform"
)

// newPullingInstance returns an instance of a deployment with a bound of 4 s for
// configurations, 20 Mbit/s links and 20 instances for each carrier.
func newPullingInstance() *peersTask {
	logger := &log.Logger{Handler: discard.New()}
	registry := prometheus.NewRegistry()
	p := newProcess(platform.Deployment{
		Node: "n", LinkBytesPerSecond: 2_500_000, Bounds: platform.Bounds{ConfigApply: 4 * time.Second},
	}, logger, newMetrics(registry, logger), registry)
	p.peers.instances, p.peers.carriers = 294, 15
	return p.peers
}

// readsStore reports whether a read of the configuration was triggered.
func readsStore(t *peersTask) bool {
	select {
	case <-t.process.configTrigger:
		return true
	default:
		return false
	}
}

// TestSmallConfigurationIsPulled guards against a new configuration that each instance reads
// from the store, whose calls then grow with the instances.
func TestSmallConfigurationIsPulled(t *testing.T) {
	is := is.New(t)
	p := newPullingInstance()
	newer := reportedState{version: 2, configBytes: 40_000}
	is.True(p.needsConfigPull(10*time.Second, 1, newer))
	is.True(!readsStore(p))
	is.True(p.needsConfigPull(11100*time.Millisecond, 1, newer))
	is.True(!readsStore(p))
	is.True(p.needsConfigPull(11300*time.Millisecond, 1, newer)) // no peer has sent it
	is.True(readsStore(p))
}

// TestLargeConfigurationIsRead guards against a configuration that keeps the link of the
// instance that read it busy until the bound is over, because all others pull it from there.
func TestLargeConfigurationIsRead(t *testing.T) {
	is := is.New(t)
	for _, newer := range []reportedState{{version: 2, configBytes: 400_000}, {version: 2}} {
		p := newPullingInstance()
		is.True(!p.needsConfigPull(10*time.Second, 1, newer))
		is.True(readsStore(p))
		is.True(p.needsConfigPull(10300*time.Millisecond, 1, newer))
	}
}
