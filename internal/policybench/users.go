package policybench

import (
	"fmt"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Latency targets, which the configuration of the simulated routers contains.
const (
	firstTokenTarget    = 630 * time.Millisecond
	betweenTokensTarget = 70 * time.Millisecond
	stockTarget         = 150 * time.Millisecond
	orderTarget         = time.Second
)

// Prices of one endpoint in units an hour.
const (
	reclaimablePrice = 1.0
	onDemandPrice    = 2.5
	plainPrice       = 0.1
)

type team struct {
	name  fleet.TeamName
	share float64
}

// user describes one of the two simulated organizations that run routers: its
// fleet, its teams and its traffic.
type user struct {
	name           string
	seed           uint64
	modelEndpoints int
	modelService   fleet.ServiceName
	plainService   fleet.ServiceName
	dataCentres    []fleet.DataCentre
	teams          []team
	floodTeam      int
	mixes          []mix
}

func users() []*user { return []*user{hizakura(), rusev()} }

func fiveTeams() []team {
	return []team{{"north", 0.4}, {"south", 0.3}, {"east", 0.12}, {"west", 0.1}, {"centre", 0.08}}
}

func hizakura() *user {
	u := &user{
		name: "hizakura", seed: 11, modelEndpoints: 9, modelService: "dial-advisor", plainService: "bench-desk",
		dataCentres: []fleet.DataCentre{"kyushu-a", "kyushu-b", "kyushu-c"}, teams: fiveTeams(), floodTeam: 0,
	}
	u.mixes = []mix{
		{kindQuote, 20, func(g *generator, c *call) { g.quote(c, u) }},
		{kindStock, 40, func(g *generator, c *call) { g.plain(c, u.plainService, 40*time.Millisecond, true) }},
		{kindWorkOrder, 4, func(g *generator, c *call) { g.plain(c, u.plainService, 100*time.Millisecond, false) }},
	}
	return u
}

// quote builds a chat whose prompt has a common system part, the catalogue of
// one of 40 watch families and a customer part. About half of the quotes extend
// the prompt of a recent one instead.
func (g *generator) quote(c *call, u *user) {
	if len(g.recent) > 0 && g.random.IntN(2) == 0 {
		earlier := g.recent[g.random.IntN(len(g.recent))]
		g.model(c, u.modelService, extendChain(earlier, g.serial, 2), 110)
		return
	}
	family := g.zipf(40)
	blocks := extendChain(nil, 1, 6)
	blocks = extendChain(blocks, 100+uint64(family), 14)
	blocks = extendChain(blocks, 1<<20+g.serial, 4)
	g.model(c, u.modelService, blocks, 110)
	g.recent = append(g.recent, blocks)
	if len(g.recent) > 60 {
		g.recent = g.recent[1:]
	}
}

// zipf returns a random rank below n from a skewed distribution, in which lower
// ranks are more frequent: the square of a uniform variable, scaled to n.
func (g *generator) zipf(n int) int {
	x := g.random.Float64()
	return int(x * x * float64(n))
}

func rusev() *user {
	u := &user{
		name: "rusev", seed: 12, modelEndpoints: 12, modelService: "lettering-model", plainService: "shop-floor",
		dataCentres: []fleet.DataCentre{"plovdiv-a", "plovdiv-b", "stara-zagora"}, teams: fiveTeams(), floodTeam: 0,
	}
	u.mixes = []mix{
		{kindLayout, 7, func(g *generator, c *call) { g.layout(c, u) }},
		{kindRewording, 16, func(g *generator, c *call) { g.rewording(c, u) }},
		{kindProof, 3, func(g *generator, c *call) { g.proof(c, u) }},
		{kindCutOrder, 4, func(g *generator, c *call) { g.plain(c, u.plainService, 100*time.Millisecond, false) }},
	}
	return u
}

// planogram returns the prefix that all layouts and rewordings of one of 150
// planograms share.
func (g *generator) planogram() []uint64 {
	p := g.zipf(150)
	return extendChain(extendChain(nil, 1, 4), 1000+uint64(p), 24+p%24)
}

func (g *generator) layout(c *call, u *user) {
	g.model(c, u.modelService, extendChain(g.planogram(), 1<<20+g.serial, 3), 360)
	c.class = fleet.ClassStandard
}

func (g *generator) rewording(c *call, u *user) {
	g.model(c, u.modelService, extendChain(g.planogram()[:20], 1<<20+g.serial, 1), 40)
}

func (g *generator) proof(c *call, u *user) {
	template := extendChain(extendChain(nil, 1, 4), 5000+uint64(g.random.IntN(6)), 12)
	g.model(c, u.modelService, extendChain(template, 1<<20+g.serial, 4), 300)
	c.class = fleet.ClassBatch
	c.maxWait = traceDuration + drainDuration
}

// nodes returns the fleet: the model endpoints, of which the first of every three
// in a data centre is on demand and the others are reclaimable, and one plain
// endpoint in each data centre.
func (u *user) nodes() []*node {
	var nodes []*node
	for i := range u.modelEndpoints {
		nodes = append(nodes, u.modelNode(i, i))
	}
	for i := range u.dataCentres {
		n := u.modelNode(1000+i, i)
		n.endpoint.ID = fleet.EndpointID(fmt.Sprintf("plain-%d", i))
		n.endpoint.Service = u.plainService
		n.endpoint.Slots = plainSlots
		n.endpoint.Reclaimable = false
		n.plain = true
		n.price = plainPrice
		nodes = append(nodes, n)
	}
	return nodes
}

func (u *user) modelNode(number, dataCentre int) *node {
	n := &node{slowdown: 1, price: reclaimablePrice, cache: newPrefixCache(cacheBlocks), endpoint: dispatchEndpoint(u, number, dataCentre)}
	if !n.endpoint.Reclaimable {
		n.price = onDemandPrice
	}
	return n
}

// spec returns the configuration of the policies under test.
func (u *user) spec() *config.Spec {
	s := &config.Spec{
		Number: 1, Models: map[string]*config.Model{},
		Services: map[fleet.ServiceName]*config.Service{
			u.modelService: {
				Name: u.modelService, Kind: config.ServiceModel, FirstToken: firstTokenTarget,
				BetweenTokens: betweenTokensTarget, Deadline: 5 * time.Second,
			},
			u.plainService: {Name: u.plainService, Kind: config.ServicePlain, Deadline: 5 * time.Second, Operations: map[string]*config.Operation{
				kindStock:     {Name: kindStock, Idempotent: true, Latency: stockTarget},
				kindWorkOrder: {Name: kindWorkOrder, Latency: orderTarget},
				kindCutOrder:  {Name: kindCutOrder, Latency: orderTarget},
			}},
		},
		Teams:       map[fleet.TeamName]*config.Team{},
		DataCentres: map[fleet.DataCentre]*config.DataCentre{},
	}
	for _, t := range u.teams {
		s.Teams[t.name] = &config.Team{Name: t.name, Weight: int(t.share * 100)}
	}
	for _, dc := range u.dataCentres {
		distances := map[fleet.DataCentre]time.Duration{}
		for _, other := range u.dataCentres {
			if other != dc {
				distances[other] = remoteDelay
			}
		}
		s.DataCentres[dc] = &config.DataCentre{
			Name: dc, Region: fleet.Region(u.name), Distances: distances,
			Prices: map[fleet.InstanceClass]config.Price{"gpu": {Reclaimable: reclaimablePrice, OnDemand: onDemandPrice}},
		}
	}
	return s
}
