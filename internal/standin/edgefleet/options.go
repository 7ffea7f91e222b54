package edgefleet

import "time"

// Options configures a fleet.
type Options struct {
	// Program is the path of cornelhold-edge, Dir the directory for settings and logs.
	Program, Dir string
	// Replicas is the number of replicas of each of the two services.
	Replicas int
	// ProxyFor returns the address that processes use in place of an address of
	// the platform, such as that of a proxy. If it is nil, they connect directly.
	ProxyFor func(address string) (string, error)
	// Moves makes the model service one whose running requests can be moved.
	Moves bool
	// Zones are the data centres of the replicas of each service in turn, "a" if there are none.
	Zones []string
	// PlainSlots and PlainQueue bound the requests at each replica of the plain service, PlainTime is
	// the time of one. There is no bound and a short time if they are 0.
	PlainSlots, PlainQueue int
	PlainTime              time.Duration
	// Objective is the latency objective of all routes, 500 ms if it is 0.
	Objective time.Duration
	// OnePort leaves the processes only one port for their own protocol, so that they use no turns.
	OnePort bool
}
