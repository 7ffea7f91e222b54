package policybench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Kinds of calls. The names appear in the figures.
const (
	kindQuote     = "quote"
	kindStock     = "stock-check"
	kindWorkOrder = "work-order"
	kindLayout    = "layout"
	kindRewording = "rewording"
	kindProof     = "proof"
	kindCutOrder  = "cut-order"
)

const (
	// traceDuration is the time in which requests arrive.
	traceDuration = 90 * time.Second
	// drainDuration is the time after traceDuration in which open requests end.
	drainDuration = 150 * time.Second
	// quietFactor is the load of the quiet trace relative to peak.
	quietFactor = 0.25
	// overPeakFactor is the load of the over-peak trace relative to peak.
	overPeakFactor = 1.5
	// floodFactor multiplies the load of the flooding team.
	floodFactor = 8
)

// Scenario names one kind of trace.
type Scenario string

// Scenarios.
const (
	Quiet   Scenario = "quiet"
	Peak    Scenario = "peak"
	Over    Scenario = "over-peak"
	Reclaim Scenario = "reclaim"
	Slow    Scenario = "slow"
	Flood   Scenario = "flood"
)

// Scenarios lists all scenarios in the order in which they run.
func Scenarios() []Scenario { return []Scenario{Quiet, Peak, Over, Reclaim, Slow, Flood} }

// call is one request of a trace. serviceTime and hedgeServiceTime are the
// processing times of the first and of later attempts at a plain service; the
// prompt and token fields apply to models.
type call struct {
	id               fleet.RequestID
	at               time.Duration
	team             fleet.TeamName
	serviceTime      time.Duration
	hedgeServiceTime time.Duration
	service          fleet.ServiceName
	kind             string
	class            fleet.Class
	blocks           []uint64
	promptTokens     int
	tokens           int
	idempotent       bool
	maxWait          time.Duration
}

// mix is one kind of call with its mean arrival rate at peak.
type mix struct {
	kind      string
	perSecond float64
	build     func(g *generator, c *call)
}

type generator struct {
	random *rand.Rand
	user   *user
	serial uint64
	// recent are prompts that a follow-up may extend.
	recent [][]uint64
}

// generate returns the calls of a scenario in order of arrival.
func (u *user) generate(s Scenario) []*call {
	g := &generator{random: rand.New(rand.NewPCG(u.seed, 1)), user: u}
	var calls []*call
	const step = 100 * time.Millisecond
	burst := 1.0
	for at := time.Duration(0); at < traceDuration; at += step {
		if at%(5*time.Second) == 0 {
			burst = 0.7 + 0.6*g.random.Float64()
		}
		for _, m := range u.mixes {
			for t, team := range u.teams {
				rate := m.perSecond * team.share * burst * loadFactor(s, t == u.floodTeam)
				calls = g.arrivals(calls, m, team.name, at, step, rate)
			}
		}
	}
	return calls
}

func loadFactor(s Scenario, floods bool) float64 {
	switch {
	case s == Quiet:
		return quietFactor
	case s == Over:
		return overPeakFactor
	case s == Flood && floods:
		return floodFactor
	default:
		return 1
	}
}

func (g *generator) arrivals(calls []*call, m mix, team fleet.TeamName, at, step time.Duration, rate float64) []*call {
	expected := rate * step.Seconds()
	count := int(expected)
	if g.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		g.serial++
		c := &call{
			id: fleet.RequestID(fmt.Sprintf("r%06d", g.serial)), team: team, kind: m.kind,
			at: at + time.Duration(g.random.Int64N(int64(step))), class: fleet.ClassInteractive, maxWait: 5 * time.Second,
		}
		m.build(g, c)
		calls = append(calls, c)
	}
	return calls
}

// extendChain returns a copy of a chain of block hashes, extended by count blocks
// that are derived from key and the preceding block.
func extendChain(blocks []uint64, key uint64, count int) []uint64 {
	out := append([]uint64(nil), blocks...)
	previous := uint64(1)
	if len(out) > 0 {
		previous = out[len(out)-1]
	}
	for i := range count {
		previous = mix64(previous ^ mix64(key+uint64(i)*0x9e3779b97f4a7c15))
		out = append(out, previous)
	}
	return out
}

// mix64 is the finalizer of splitmix64 (Steele, Lea, Flood 2014).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (g *generator) model(c *call, to fleet.ServiceName, blocks []uint64, tokens int) {
	c.service = to
	c.blocks = blocks
	c.promptTokens = len(blocks)*blockTokens + g.random.IntN(blockTokens)
	c.tokens = tokens/2 + g.random.IntN(tokens)
	c.idempotent = true
}

func (g *generator) plain(c *call, to fleet.ServiceName, typical time.Duration, idempotent bool) {
	c.service = to
	c.idempotent = idempotent
	c.serviceTime = g.serviceTime(typical)
	c.hedgeServiceTime = g.serviceTime(typical)
}

// serviceTime returns a random service time with a long tail: one call in fifty
// takes ten times as long.
func (g *generator) serviceTime(typical time.Duration) time.Duration {
	d := time.Duration(float64(typical) * (0.5 + g.random.Float64()))
	if g.random.IntN(50) == 0 {
		d *= 10
	}
	return d
}
