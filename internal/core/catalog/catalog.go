// Package catalog holds an instance's view of the deployment: the active
// configuration and the endpoints that may receive requests.
package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Version orders configurations. Versions increase but need not be consecutive.
type Version int64

// Kind determines whether a route's requests may be executed more than once.
type Kind uint8

// Kinds of route.
const (
	// KindUnsafe requests run at most once for each request of the caller.
	KindUnsafe Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests get a response of server-sent events. They are unsafe
	// unless the route is resumable.
	KindStream
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "idempotent", "stream"}[k]
}

// Target is a service to which a route sends a share of its requests.
type Target struct {
	Service fleet.ServiceName
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route defines how requests for a host and path prefix are served.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Targets []Target
	Kind    Kind
	// Timeout bounds the total time of a request.
	Timeout time.Duration
	// LatencyObjective is the target latency of a response, up to the first event of a stream.
	LatencyObjective time.Duration
	// PauseLimit is the longest pause between two events of a stream that is on time; 0 means
	// none is stated.
	PauseLimit time.Duration
	// MaxAttempts bounds the endpoints to which one request of a caller is sent.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the most urgent.
	Priority  int
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request may be sent again if it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once; 0 if not stated.
	Slots int
	// CapacityTokens is the capacity of one engine's memory.
	CapacityTokens int
	// Moves is set if running requests can be moved to another engine.
	Moves bool
	// BytesPerToken is the memory of one token, LinkMbps the rate of an engine's link in
	// Mbit/s.
	BytesPerToken, LinkMbps float64
	// HandleTTL is how long the copy of a moved request waits for its use.
	HandleTTL time.Duration
	// Stride is the number of output tokens of an event of a stream; 0 if not stated.
	Stride int
}

// Scaling configures how many endpoints a service has in each data centre.
type Scaling struct {
	Min, Max int
	// BootTime is the time from the order of an endpoint until it serves
	// requests.
	BootTime time.Duration
	// Prices holds the price of an endpoint per second, by data centre.
	Prices map[fleet.DataCentre]float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name    fleet.ServiceName
	Engine  *Engine
	Scaling *Scaling
}

// Team is a customer of the deployment with its API keys and quota.
type Team struct {
	Name fleet.TeamName
	Keys []string
	// Priority ranks the team's requests within a route; -1 means the default.
	Priority int
	// Rate (per second) and Burst are the team's quota. They are in tokens if
	// CountTokens is set, else in requests. A rate of 0 means no limit.
	Rate, Burst float64
	CountTokens bool
	// DefaultTokens is charged for a request without a token count.
	DefaultTokens int
}

// Limits bounds the size of requests and how long a caller may take to send one.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is a complete configuration. It is immutable once built.
type Catalog struct {
	Version  Version
	Routes   []Route
	Services map[fleet.ServiceName]Service
	Teams    []Team
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Team
}

// Build returns a copy of c with its lookup tables.
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

// TeamByKey returns the team with the given API key.
func (c *Catalog) TeamByKey(key string) (*Team, bool) {
	t, ok := c.byKey[key]
	return t, ok
}

// HasTeams reports whether teams are configured, so that requests need an API
// key.
func (c *Catalog) HasTeams() bool { return len(c.Teams) > 0 }

func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
