// Package transit estimates how long the messages of a peer were on the way, from
// the clocks of sender and receiver, which are not synchronized. It performs no
// input or output; the caller passes in the times.
package transit

import "time"

// maxDriftPerSecond bounds the rate at which two clocks drift apart.
const maxDriftPerSecond = 200 * time.Microsecond

// DelayEstimate estimates the delays of the messages of one peer. The difference
// between the receiver's and the sender's clock is known up to the delay of the
// fastest message, so only the delay beyond that of the fastest one is estimated.
type DelayEstimate struct {
	// minDifference is the smallest difference between the time of receipt and the
	// time of sending, at the receipt of the last message.
	minDifference time.Duration
	receivedAt    time.Duration
	known         bool
}

// Observe returns the estimated delay of a message that was sent at the sender's time
// sentAt and processed at the receiver's time receivedAt. It reports false for the first
// message, whose delay cannot be estimated.
func (e *DelayEstimate) Observe(sentAt, receivedAt time.Duration) (time.Duration, bool) {
	difference := receivedAt - sentAt
	if !e.known {
		*e = DelayEstimate{minDifference: difference, receivedAt: receivedAt, known: true}
		return 0, false
	}
	drift := time.Duration((receivedAt - e.receivedAt).Seconds() * float64(maxDriftPerSecond))
	e.minDifference = min(e.minDifference+drift, difference)
	e.receivedAt = receivedAt
	return difference - e.minDifference, true
}
