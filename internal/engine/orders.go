package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/core/order"
)

// StatePath is where an endpoint reports its state and accepts orders.
const StatePath = "/v1/state"

const (
	// stateTimeout bounds one status call.
	stateTimeout = 2 * time.Second
	// maxStateBytes bounds the body of a status.
	maxStateBytes = 1 << 20
)

// TargetRecord is the wire form of order.Target.
type TargetRecord struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// StateRecord is the answer to GET /v1/state.
type StateRecord struct {
	Incarnation string        `json:"incarnation"`
	Loaded      TargetRecord  `json:"loaded"`
	Loading     *TargetRecord `json:"loading,omitempty"`
	Ready       bool          `json:"ready"`
	Fence       uint64        `json:"fence"`
}

// OrderRecord is the body of PUT /v1/state. The answer 409 means that the
// endpoint has accepted a higher fencing number.
type OrderRecord struct {
	Fence  uint64       `json:"fence"`
	Target TargetRecord `json:"target"`
}

// OrderClient observes endpoints and sends orders to them.
type OrderClient struct {
	http *http.Client
}

// NewOrderClient returns a client without connections.
func NewOrderClient() *OrderClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &OrderClient{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
	}}}
}

// Observe returns what the endpoint reports about itself.
func (c *OrderClient) Observe(ctx context.Context, address string) (order.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+StatePath, nil)
	if err != nil {
		return order.Status{}, Error.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return order.Status{}, Error.New("%s does not report its state: %w; check that it runs", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return order.Status{}, Error.New("%s reports no state: status %s; check that it supports orders", address, resp.Status)
	}
	var record StateRecord
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&record); err != nil {
		return order.Status{}, Error.New("%s reports a malformed state: %w", address, err)
	}
	return record.core(), nil
}

// Send sends an order. allowed is asked right before the request leaves; the
// order is not sent if it reports false. The call ends after MaxOrderDelay.
func (c *OrderClient) Send(ctx context.Context, address string, fence lease.Fence, target order.Target, allowed func() bool) order.Result {
	ctx, cancel := context.WithTimeout(ctx, lease.MaxOrderDelay)
	defer cancel()
	body, err := json.Marshal(OrderRecord{Fence: uint64(fence), Target: targetRecord(target)})
	if err != nil {
		return order.ResultNotSent
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+StatePath, bytes.NewReader(body))
	if err != nil || !allowed() {
		return order.ResultNotSent
	}
	req.Header.Set("Content-Type", "application/json")
	// Without GetBody the transport can't send the order a second time later.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return sendResult(err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return order.ResultAccepted
	case resp.StatusCode == http.StatusConflict:
		return order.ResultFenced
	case resp.StatusCode < http.StatusInternalServerError:
		return order.ResultRejected
	default:
		return order.ResultUnknown
	}
}

func sendResult(err error) order.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return order.ResultNotSent
	}
	return order.ResultUnknown
}

func (r StateRecord) core() order.Status {
	status := order.Status{
		Incarnation: r.Incarnation, Loaded: r.Loaded.core(), Ready: r.Ready, Fence: lease.Fence(r.Fence),
	}
	if r.Loading != nil {
		loading := r.Loading.core()
		status.Loading = &loading
	}
	return status
}

func (r TargetRecord) core() order.Target {
	return order.Target{Model: r.Model, Version: r.Version, Adapters: r.Adapters, Role: r.Role}
}

func targetRecord(t order.Target) TargetRecord {
	return TargetRecord{Model: t.Model, Version: t.Version, Adapters: t.Adapters, Role: t.Role}
}
