//go:build review

package main

import (
	"context"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	contactTime = 3 * time.Second
	// comeAgain is the time until the crashing request comes again.
	comeAgain = time.Second
	// replicaDown is the time until a replica that crashed is back.
	replicaDown = 3 * time.Second
	// Disruption herd_kill: all processes are killed, and the machines are down for
	// machinesDown. It comes kills times.
	machinesDown = time.Second
	kills        = 2
	// sends is the number of times that the request comes before and after each.
	sends = 6
	// maxLateSends is the number of sends that are allowed contactTime after the third crash.
	maxLateSends = 3
	machineCount = 3
)

func init() { cases["crashing"] = runCrashing }

// runCrashing sends a request that crashes each replica until the machines refuse it, kills
// the processes of all machines, and lets the request come again once they are in touch. It
// counts how often it reaches replicas later than contactTime after the third crash (BUDGET).
func runCrashing(ctx context.Context, r *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	crashes := func(x *replica) { f.crashAndRestart(ctx, x) }
	for range modelReplicas {
		model := &replica{service: "model", zone: "kyushu-a", slots: 128, work: streamWork, events: streamEvents, interval: streamInterval, crashes: crashes}
		if err := f.addReplica(ctx, model); err != nil {
			return false, err
		}
	}
	f.configure(config)
	go f.heartbeats(ctx)
	for range machineCount {
		if _, err := f.addMachine("kyushu-a"); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	f.record.conclude("the crashing request comes")
	f.sendCrashing(sends)
	for range kills {
		if trouble {
			f.record.conclude("the processes of all machines are killed")
			if err := f.killAll(); err != nil {
				return false, err
			}
		}
		time.Sleep(contactTime + 2*time.Second)
		f.record.conclude("all machines are in touch; the crashing request comes again")
		f.sendCrashing(sends)
	}
	return f.countLateSends() > maxLateSends, nil
}

// crashAndRestart crashes a replica and starts its next boot some seconds later.
func (f *fleet) crashAndRestart(ctx context.Context, x *replica) {
	if x.isCrashed() {
		return
	}
	f.record.printf("replica %s crashes", x.id)
	f.crash(x)
	time.AfterFunc(replicaDown, func() {
		f.mutex.Lock()
		i := slices.Index(f.replicas, x)
		f.mutex.Unlock()
		if err := f.restart(ctx, i); err != nil {
			f.record.conclude("replica %s: %v", x.id, err)
		}
	})
}

// sendCrashing sends the crashing request n times, the same each time, at the machines in
// turn. Its client repeats it once, at once, at another machine, if it failed.
func (f *fleet) sendCrashing(n int) {
	for i := range n {
		for retry := range 2 {
			m := f.machines[(i+retry)%len(f.machines)]
			c := &client{address: m.front(), key: ordinaryKey}
			x := c.do("POST", crashingTarget, "Token-Usage: 60,24\r\n", []byte("crashing prompt"), 5*time.Second)
			c.close()
			if x == nil {
				continue
			}
			f.record.printf("%s at %s: status %d, error %v", x.attempt, m.name, x.status, x.err)
			if x.err == nil && x.status != 502 && x.status != 504 {
				break
			}
		}
		time.Sleep(comeAgain)
	}
}

// killAll kills the processes of all machines at once, and starts them again.
func (f *fleet) killAll() error {
	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}
	var ended sync.WaitGroup
	for _, m := range f.machines {
		ended.Go(func() { <-m.ended() })
	}
	ended.Wait()
	time.Sleep(machinesDown)
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// countLateSends returns how often the crashing request reached replicas later than
// contactTime after it had crashed the third. It is sent only while all machines are in
// touch.
func (f *fleet) countLateSends() int {
	var runs []run
	for _, list := range f.ran() {
		for _, x := range list {
			if strings.HasPrefix(x.target, crashingTarget) {
				runs = append(runs, x)
			}
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	late := 0
	for i, x := range runs {
		f.record.printf("%s reached %s at %.3f s", x.attempt, x.replica, x.at.Sub(f.record.started).Seconds())
		if i >= 3 && x.at.After(runs[2].at.Add(crashTime+contactTime)) {
			late++
		}
	}
	f.record.conclude("the request reached replicas %d times, %d of these by machines in touch later than contact-ms after the third crash; %d may", len(runs), late, maxLateSends)
	return late
}
