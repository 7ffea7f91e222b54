package controller

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/capacity"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/core/order"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const (
	reconcilerCapacity = 4096
	// stepInterval is the time between two reconciliation steps.
	stepInterval = 500 * time.Millisecond
)

// reconcilerMessage is a message to the reconciler task. Core messages and the
// other fields may be combined.
type reconcilerMessage struct {
	order    order.Message
	capacity capacity.Message
	snapshot *config.Snapshot
	list     []platform.CloudInstance
	listed   bool
	// jobDone is set when the job for one action has ended.
	jobDone bool
	// drain stops further steps and is closed once no job is in flight.
	drain chan struct{}
}

// reconciler is the task that owns order.Machine and capacity.Machine.
type reconciler struct {
	log      log.Interface
	settings *Settings
	clock    task.Clock
	mailbox  task.Mailbox[reconcilerMessage]
	leaser   task.Mailbox[leaserMessage]
	jobs     task.Mailbox[job]
	orders   *order.Machine
	capacity *capacity.Machine
	metrics  *metrics
	ready    *readiness
	timer    *task.Timer

	spec *config.Spec
	// frozen contains the services whose objects this program cannot decode. Their
	// shards are not requested.
	frozen    map[fleet.ServiceName]bool
	instances []capacity.Instance
	held      map[lease.Shard]lease.Permit
	// wantedChanged is set until the leaser has received the current wanted shards.
	wantedChanged bool
	jobsInFlight  int
	drain         chan struct{}
}

// Run owns the machines until ctx ends.
func (r *reconciler) Run(ctx context.Context) error {
	r.timer.Arm(stepInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.timer.C():
			r.tick()
			r.timer.Arm(stepInterval)
		case msg := <-r.mailbox.Receive():
			r.handle(msg)
		}
	}
}

func (r *reconciler) handle(msg reconcilerMessage) {
	if msg.jobDone {
		r.jobsInFlight--
	}
	if msg.snapshot != nil {
		r.configure(msg.snapshot)
	}
	if msg.listed {
		r.updateInstances(msg.list)
	}
	switch m := msg.order.(type) {
	case order.PermitGranted:
		r.held[m.Permit.Shard] = m.Permit
	case order.PermitEnded:
		delete(r.held, m.Shard)
	}
	if msg.order != nil {
		r.perform(r.orders.Step(r.clock.Now(), msg.order), nil)
	}
	if msg.capacity != nil {
		r.perform(nil, r.capacity.Step(r.clock.Now(), msg.capacity))
	}
	if msg.drain != nil {
		r.drain = msg.drain
	}
	if r.drain != nil && r.jobsInFlight == 0 {
		close(r.drain)
		r.drain = nil
		r.timer.Stop()
	}
}

func (r *reconciler) tick() {
	if r.wantedChanged {
		r.wantedChanged = !r.leaser.TrySend(leaserMessage{core: r.wanted()})
	}
	if r.drain != nil {
		return
	}
	now := r.clock.Now()
	ready := make(map[fleet.InstanceID]bool)
	for _, i := range r.instances {
		if _, held := r.held[i.Token.Slot.Shard]; held {
			ready[i.ID] = r.orders.EndpointReady(now, fleet.EndpointID(i.ID))
		}
	}
	r.perform(r.orders.Step(now, order.Tick{}), r.capacity.Step(now, capacity.Tick{Ready: ready}))
	r.metrics.weightWait.Set(r.orders.SlotWait(now).Seconds())
	r.updateGauges()
}

func (r *reconciler) configure(s *config.Snapshot) {
	spec, skipped := ticket.BuildSpec(s)
	r.spec = spec
	r.frozen = make(map[fleet.ServiceName]bool)
	for _, key := range skipped {
		if key.Kind == ticket.KindService {
			r.frozen[fleet.ServiceName(key.Name)] = true
		}
	}
	now := r.clock.Now()
	r.orders.Step(now, order.SetSpec{Spec: spec})
	r.capacity.Step(now, capacity.SetSpec{Spec: spec, Frozen: r.frozen})
	r.wantedChanged = true
	r.metrics.number.Set(float64(spec.Number))
	r.ready.configured()
	r.log.WithFields(log.Fields{"number": uint64(spec.Number), "skipped_objects": len(skipped)}).
		Info("configuration active")
}

func (r *reconciler) updateInstances(list []platform.CloudInstance) {
	r.instances = nil
	var endpoints []order.Endpoint
	for _, i := range list {
		instance, own := decodeInstance(i)
		if !own {
			continue
		}
		r.instances = append(r.instances, instance)
		if instance.State != capacity.StateStopped {
			endpoints = append(endpoints, newEndpoint(i, instance))
		}
	}
	now := r.clock.Now()
	r.capacity.Step(now, capacity.SetInstances{List: r.instances})
	r.perform(r.orders.Step(now, order.SetEndpoints{List: endpoints}), nil)
	r.wantedChanged = true
}

// wanted returns the shards of the configuration, and those of live instances
// whose service was removed, so that these instances are stopped.
func (r *reconciler) wanted() lease.SetWanted {
	if r.spec == nil {
		return lease.SetWanted{}
	}
	seen := make(map[lease.Shard]bool)
	var wanted lease.SetWanted
	add := func(shard lease.Shard) {
		if seen[shard] || r.frozen[shard.Service] {
			return
		}
		seen[shard] = true
		service := r.spec.Services[shard.Service]
		wanted.Shards = append(wanted.Shards, lease.Wanted{
			Shard: shard, ChecksFencing: service != nil && service.ChecksFencing,
			Local: string(shard.DataCentre) == r.settings.DataCentre,
		})
	}
	for _, service := range r.spec.Services {
		for _, replicas := range service.Replicas {
			add(lease.Shard{Service: service.Name, DataCentre: replicas.DataCentre})
		}
	}
	for _, i := range r.instances {
		if i.State == capacity.StateLive {
			add(i.Token.Slot.Shard)
		}
	}
	return wanted
}

// updateGauges sets the instance and cost gauges from the instances of held
// shards.
func (r *reconciler) updateGauges() {
	r.metrics.instances.Reset()
	cost := 0.0
	for _, i := range r.instances {
		if _, held := r.held[i.Token.Slot.Shard]; !held || i.State == capacity.StateStopped {
			continue
		}
		r.metrics.instances.WithLabelValues(i.State.String(), string(i.Placement.Class), string(i.Placement.DataCentre)).Inc()
		if r.spec != nil {
			cost += i.Placement.Price(r.spec)
		}
	}
	r.metrics.cost.Set(cost)
}
