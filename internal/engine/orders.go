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

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/core/order"
	"github.com/cornelhold/cornelhold/internal/httpclient"
)

// StatePath is where an endpoint reports its state and accepts orders.
const StatePath = "/v1/state"

const (
	// stateTimeout bounds one status call.
	stateTimeout = 2 * time.Second
	// orderTimeout bounds one order. It is half of lease.MaxOrderDelay, so that
	// an order that was sent in time has arrived or was discarded before
	// lease.MaxOrderDelay has passed.
	orderTimeout = lease.MaxOrderDelay / 2
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

// StateRecord is the response to GET /v1/state.
type StateRecord struct {
	Incarnation string        `json:"incarnation"`
	Loaded      TargetRecord  `json:"loaded"`
	Loading     *TargetRecord `json:"loading,omitempty"`
	Ready       bool          `json:"ready"`
	Fence       uint64        `json:"fence"`
}

// OrderRecord is the body of PUT /v1/state. Status 409 means that the endpoint
// has accepted a higher fencing token.
type OrderRecord struct {
	Fence  uint64       `json:"fence"`
	Target TargetRecord `json:"target"`
}

// OrderClient observes endpoints and sends orders to them.
type OrderClient struct {
	http *http.Client
}

// errPermitEnded stops an order whose permit ended before it was written.
var errPermitEnded = errs.Class("the permit for the order has ended")

// NewOrderClient returns a client that connects to an endpoint on first use.
func NewOrderClient() *OrderClient {
	return &OrderClient{http: &http.Client{Transport: httpclient.NewTransport(httpclient.Options{
		Dial: dialWithoutLinger, MaxIdlePerHost: 1, IdleTimeout: idleConnTimeout,
	})}}
}

// dialWithoutLinger makes the kernel discard unsent bytes when the connection
// is closed; otherwise it could deliver an order minutes after its timeout.
func dialWithoutLinger(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	return conn, err
}

// gatedBody is the body of an order that can be read only while the permit
// allows it. An endpoint ignores an order without a complete body.
type gatedBody struct {
	io.Reader
	allowed func() bool
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.allowed() {
		return 0, errPermitEnded.New("the order was not sent")
	}
	return b.Reader.Read(p)
}

// Observe returns the state that the endpoint reports.
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
	return record.toStatus(), nil
}

// Send sends an order. allowed is called when the body is written to the
// connection; if it returns false, the order is not sent. The call ends within
// half of lease.MaxOrderDelay.
func (c *OrderClient) Send(ctx context.Context, address string, fence lease.Fence, target order.Target, allowed func() bool) order.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(OrderRecord{Fence: uint64(fence), Target: newTargetRecord(target)})
	if err != nil {
		return order.ResultNotSent
	}
	// A body of this type can't be rewound, so that the transport never sends
	// the order a second time.
	gated := &gatedBody{Reader: bytes.NewReader(body), allowed: allowed}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+StatePath, gated)
	if err != nil {
		return order.ResultNotSent
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return resultFromSendError(err)
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

func resultFromSendError(err error) order.Result {
	var op *net.OpError
	if errPermitEnded.Has(err) || (errors.As(err, &op) && op.Op == "dial") {
		return order.ResultNotSent
	}
	return order.ResultUnknown
}

func (r StateRecord) toStatus() order.Status {
	status := order.Status{
		Incarnation: r.Incarnation, Loaded: r.Loaded.toTarget(), Ready: r.Ready, Fence: lease.Fence(r.Fence),
	}
	if r.Loading != nil {
		loading := r.Loading.toTarget()
		status.Loading = &loading
	}
	return status
}

func (r TargetRecord) toTarget() order.Target {
	return order.Target{Model: r.Model, Version: r.Version, Adapters: r.Adapters, Role: r.Role}
}

func newTargetRecord(t order.Target) TargetRecord {
	return TargetRecord{Model: t.Model, Version: t.Version, Adapters: t.Adapters, Role: t.Role}
}
