package upstream

import (
	"context"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/platform"
)

// StartCall starts an exchange with a call of the system itself to an endpoint.
func StartCall(ctx context.Context, pool *Pool, e catalog.Endpoint, c platform.EndpointCall) <-chan Event {
	return StartExchange(ctx, pool, Request{
		Address: e.Address, Method: c.Method, Target: c.Target, Host: e.Address,
		Header: platform.CallHeader(e.ID), Body: c.Body, AnyAttempt: true,
	})
}

// Call performs such a call and returns the last event. It fails when ctx ends.
func Call(ctx context.Context, pool *Pool, e catalog.Endpoint, c platform.EndpointCall) Event {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := StartCall(ctx, pool, e, c)
	for {
		select {
		case event := <-events:
			if IsLast(event) {
				return event
			}
		case <-ctx.Done():
			return Failed{Cause: Error.Wrap(ctx.Err()), Sent: true}
		}
	}
}
