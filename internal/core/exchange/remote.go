package exchange

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// receivedDigest is the newest digest of one carrier.
type receivedDigest struct {
	digest Digest
	at     time.Duration
}

// remote is another data centre.
type remote struct {
	digests map[Address]receivedDigest
	// named are its carriers and their successors as its instances last named them.
	named   []Carrier
	namedAt time.Duration
}

// receivedRemote processes a message of another data centre.
func (e *Exchange) receivedRemote(now time.Duration, m Message) {
	r, ok := e.remote[m.Sender.DataCentre]
	if !ok {
		r = &remote{digests: make(map[Address]receivedDigest)}
		e.remote[m.Sender.DataCentre] = r
	}
	if len(m.Carriers) > 0 && r.accepts(now, m.Digest) {
		r.named, r.namedAt = m.Carriers, now
	}
	if m.Digest == nil {
		return
	}
	r.digests[m.Sender.Address] = receivedDigest{digest: *m.Digest, at: now}
	if !e.isCarrier && len(e.redirects) < maxInstances {
		e.redirects = append(e.redirects, m.Sender.Address)
	}
}

// accepts reports whether the carriers named together with a digest, nil for none, replace
// the known ones: those named by an instance that reaches as many others as any.
func (r *remote) accepts(now time.Duration, d *Digest) bool {
	if now-r.namedAt > aliveTTL {
		return true
	}
	known, current, ok := r.newest(now)
	return d != nil && (!ok || !current || d.Reached.Instances >= known.digest.Reached.Instances)
}

func (e *Exchange) expireRemote(now time.Duration) {
	for dc, r := range e.remote {
		for a, d := range r.digests {
			if now-d.at > lostTTL {
				delete(r.digests, a)
			}
		}
		if len(r.digests) == 0 && now-r.namedAt > lostTTL {
			delete(e.remote, dc)
		}
	}
}

// newest returns the digest that covers the most instances among those that are current,
// or else the last one. It reports whether it is current.
func (r *remote) newest(now time.Duration) (chosen receivedDigest, current, ok bool) {
	for _, d := range r.digests {
		isCurrent := now-d.at <= aliveTTL
		switch {
		case !ok, isCurrent && !current:
		case isCurrent != current:
			continue
		case isCurrent && d.digest.Reached.Instances < chosen.digest.Reached.Instances:
			continue
		case isCurrent && d.digest.Reached.Instances == chosen.digest.Reached.Instances && d.at < chosen.at:
			continue
		case !isCurrent && d.at < chosen.at:
			continue
		}
		chosen, current, ok = d, isCurrent, true
	}
	return chosen, current, ok
}

func (r *remote) isReached(now time.Duration) bool {
	_, current, ok := r.newest(now)
	return ok && current
}

// joinRemote adds the sums of the other data centres.
func (e *Exchange) joinRemote(now time.Duration, reached, lost *tally.Group) {
	for _, r := range e.remote {
		d, current, ok := r.newest(now)
		if !ok {
			continue
		}
		age := now - d.at
		g := d.digest.Reached
		if current {
			g.Age += age
			g.Oldest += age
			if g.Youngest > 0 {
				g.Youngest += age
			}
			reached.Join(g)
			lost.Join(d.digest.Lost)
			continue
		}
		for _, part := range []tally.Group{g, d.digest.Lost} {
			lost.Tally.AddUsed(shift(part.Tally.Used, age, e.options.QuotaWindow))
			lost.Instances += part.Instances
		}
	}
}

// sendDigests sends the sum of this data centre to the carriers of the others. While
// those are silent, it tries known instances in turn.
func (e *Exchange) sendDigests(now time.Duration, own Digest, message Message) []Action {
	message.Digest = &own
	var to []Address
	for _, dc := range e.book.dataCentres() {
		if dc == e.options.Self.DataCentre || dc == "" {
			continue
		}
		r, ok := e.remote[dc]
		if ok && now-r.namedAt <= aliveTTL {
			for _, i := range firstCarriers(r.named) {
				to = append(to, i.Address)
			}
			continue
		}
		to = append(to, e.book.next(dc, probesPerTick)...)
	}
	slices.Sort(to)
	to = slices.Compact(to)
	if len(to) == 0 {
		return nil
	}
	return []Action{Send{To: to, Message: message}}
}
