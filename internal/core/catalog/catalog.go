// Package catalog holds what an own instance believes about its deployment:
// the configuration in force and the endpoints that may receive requests.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Version orders configurations. Versions increase in uneven steps.
type Version int64

// Kind tells what may be repeated.
type Kind uint8

// Kinds of route.
const (
	// KindUnsafe runs at most once for each attempt of the caller.
	KindUnsafe Kind = iota
	// KindIdempotent may run more than once.
	KindIdempotent
	// KindStream answers with a series of events; it is unsafe unless resumable.
	KindStream
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "idempotent", "stream"}[k]
}

// Target is one service of a route that splits its requests.
type Target struct {
	Service fleet.ServiceName
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route tells how requests for a host and path prefix are served.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Targets []Target
	Kind    Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full value.
	LatencyObjective time.Duration
	// MaxAttempts bounds the endpoints to which one attempt of a caller is sent.
	MaxAttempts int
	// Priority is the rank, 0 is the most urgent.
	Priority  int
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// CapacityTokens is the capacity of one engine in tokens.
	CapacityTokens int
}

// Scaling bounds the endpoints of a service, for each data centre.
type Scaling struct {
	Min, Max int
	// BootTime passes between an order and the first request served.
	BootTime time.Duration
	// Prices is the price of an endpoint for each second, by data centre.
	Prices map[fleet.DataCentre]float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name    fleet.ServiceName
	Engine  *Engine
	Scaling *Scaling
}

// Team is a customer of the deployment with its keys and allowance.
type Team struct {
	Name fleet.TeamName
	Keys []string
	// Priority replaces the priority of the route; -1 keeps it.
	Priority int
	// Rate and Burst bound what the team uses, in tokens or requests a second
	// and in tokens or requests. A rate of 0 means no limit.
	Rate, Burst float64
	CountTokens bool
	// DefaultTokens is what a request without a token count uses.
	DefaultTokens int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is one whole configuration. It is immutable once built.
type Catalog struct {
	Version  Version
	Routes   []Route
	Services map[fleet.ServiceName]Service
	Teams    []Team
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Team
}

// Build completes the lookup tables of c and returns it.
func Build(c Catalog) *Catalog {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := normalizeHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = make(map[string]*Team)
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.byKey[key] = &c.Teams[i]
		}
	}
	return &c
}

// Match returns the route of the host with the longest prefix of path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamByKey returns the team that holds the key.
func (c *Catalog) TeamByKey(key string) (*Team, bool) {
	t, ok := c.byKey[key]
	return t, ok
}

// HasTeams reports whether requests need a key.
func (c *Catalog) HasTeams() bool { return len(c.Teams) > 0 }

func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
