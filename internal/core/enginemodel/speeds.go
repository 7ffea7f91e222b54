package enginemodel

import "time"

// Speeds are the estimated speeds of the engines of a service.
type Speeds struct {
	// readPerToken is the time to read one prompt token, firstFixed the time to the first event
	// besides reading. All times are in milliseconds.
	readPerToken, firstFixed float64
	// doubtfulShare is the share that is read of the prompt tokens which other instances may have
	// caused to be cached.
	doubtfulShare float64
	// stepFixed and stepPerRequest make up the time of a step, which gives each running request
	// one token.
	stepFixed, stepPerRequest float64
	// requestTime is the mean time that a request runs, requestTokens the mean number of tokens
	// that it holds in memory beyond shared ones; both are 0 while unknown.
	requestTime, requestTokens float64
	// readShare is the mean share of its time that an engine spends on reading prompts.
	readShare float64
	// typicalFirst and typicalStep are the mean times from which firstFixed and stepFixed are fitted.
	typicalFirst, typicalStep float64
	known                     bool
}

// prior holds the speeds assumed of an engine that no request has shown yet. They are those of
// a fast engine, so that an unknown service does not get more endpoints than it needs.
var prior = Speeds{readPerToken: 1.0 / 90, firstFixed: 100, doubtfulShare: 0.15, stepFixed: 7, stepPerRequest: 0.07}

const (
	// priorWeight is the weight of the prior in the scale of a fit, and priorShape that at each
	// of its two points in the ratio of slope and intercept.
	priorWeight, priorShape = 2.5, 0.25
	// knownWeight is the weight of requests from which a service counts as known: 40 requests of
	// unknownWeight.
	knownWeight = 40 * unknownWeight
	// maxReadShare bounds the share of time spent on reading. Above it an engine is overloaded
	// and the share does not describe its steps.
	maxReadShare = 0.8
)

// speedsOf fits the speeds of a service with a number of endpoints.
func speedsOf(s ServiceSums, endpoints int) Speeds {
	v := Speeds{known: s.First.Certain.N >= knownWeight}
	v.firstFixed, v.readPerToken, v.doubtfulShare = s.First.fit(prior.firstFixed, prior.readPerToken, prior.doubtfulShare)
	v.stepFixed, v.stepPerRequest = s.Step.fit(prior.stepFixed, prior.stepPerRequest)
	v.typicalFirst, v.typicalStep = s.First.Certain.mean(v.firstFixed), s.Step.mean(v.stepFixed)
	if s.Finished > priorWeight {
		v.requestTime, v.requestTokens = s.SlotTime/s.Finished, s.Held/s.Finished
	}
	if endpoints > 0 {
		perMillisecond := s.Read / float64(serviceMemory.Milliseconds())
		v.readShare = min(perMillisecond*v.readPerToken/float64(endpoints), maxReadShare)
	}
	return v
}

// step returns the time of a step without reading.
func (v *Speeds) step(running float64) float64 { return v.stepFixed + v.stepPerRequest*running }

// ReadTime returns the time to read tokens of prompts at the service's rate.
func (v *Speeds) ReadTime(tokens int) time.Duration {
	return milliseconds(float64(tokens) * v.readPerToken)
}

// ReadRate returns the number of prompt tokens that an engine reads per second.
func (v *Speeds) ReadRate() float64 { return 1000 / v.readPerToken }

// TokenTime returns the time of an output token of each of a number of running requests, without
// the time that the engine reads prompts meanwhile.
func (v *Speeds) TokenTime(running int) time.Duration { return milliseconds(v.step(float64(running))) }

// ExpectedRead returns how many tokens of a prompt are read if some certainly are not cached and
// others may be.
func (v *Speeds) ExpectedRead(certain, doubtful int) int {
	return certain + int(v.doubtfulShare*float64(doubtful))
}

// FirstFixed returns the time to the first event besides reading and running requests.
func (v *Speeds) FirstFixed() time.Duration { return milliseconds(v.firstFixed) }

// BatchTime returns how much longer the first event takes besides a number of running requests.
// stride is the number of tokens of an event, 0 if it is not known.
func (v *Speeds) BatchTime(running, stride int) time.Duration {
	if stride <= 0 {
		stride = assumedStride
	}
	return milliseconds(v.stepPerRequest * float64(running) * float64(stride))
}

// assumedStride is the number of tokens of an event where it is not stated.
const assumedStride = 8

// SlotWait returns the time until one more of an engine's slots is free.
func (v *Speeds) SlotWait(slots int) time.Duration {
	if v.requestTime == 0 {
		return milliseconds(priorSlotWait)
	}
	return milliseconds(v.requestTime / float64(max(slots, 1)))
}

// priorSlotWait is the time in milliseconds until a slot is free before a request has ended.
const priorSlotWait = 20

// UsableSlots returns how many requests an engine runs at once: its slots, or fewer if its
// memory for tokens holds fewer requests. Shared prompt parts are in memory once and not counted.
func (v *Speeds) UsableSlots(slots, capacityTokens int) int {
	if capacityTokens > 0 && v.requestTokens > 0 {
		slots = min(slots, int(float64(capacityTokens)/v.requestTokens))
	}
	return max(slots, 1)
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, maxTime) * float64(time.Millisecond))
}

// maxTime bounds an estimate in milliseconds, so that sums of estimates do not overflow.
const maxTime = 1e7
