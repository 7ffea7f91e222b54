package modelengine

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
	"github.com/cornelhold/cornelhold/internal/task"
)

// OrderSettings configures how the stand-in executes orders.
type OrderSettings struct {
	// LoadTime is the time to load a model, an adapter or a role.
	LoadTime time.Duration `yaml:"load_time" validate:"min=0"`
	// IgnoreFencing makes the endpoint accept orders with a stale fencing token.
	IgnoreFencing bool `yaml:"ignore_fencing"`
}

// OrderFaults are the faults to inject into orders, set with PUT /order-faults.
type OrderFaults struct {
	// LoseResponses is the number of orders that are accepted but whose connection
	// is closed without a response.
	LoseResponses int `json:"lose_responses"`
}

// Orders is the task that owns the loaded state of one endpoint.
type Orders struct {
	settings  OrderSettings
	mailbox   task.Mailbox[any]
	state     engine.StateRecord
	faults    OrderFaults
	loadTimer *task.Timer
}

type (
	stateQuery struct {
		reply chan engine.StateRecord
	}
	orderMessage struct {
		order engine.OrderRecord
		reply chan orderReply
	}
	orderFaults struct {
		faults OrderFaults
	}
)

type orderReply struct {
	fenced       bool
	loseResponse bool
}

// NewOrders returns the order interface of an endpoint that has nothing loaded.
func NewOrders(settings OrderSettings) *Orders {
	return &Orders{
		settings: settings, mailbox: task.NewMailbox[any](mailboxCapacity),
		state: engine.StateRecord{Incarnation: uuid.NewString()}, loadTimer: task.NewTimer(),
	}
}

// Run owns the state until ctx ends.
func (o *Orders) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-o.loadTimer.C():
			o.finishLoading()
		case msg := <-o.mailbox.Receive():
			o.step(msg)
		}
	}
}

func (o *Orders) step(msg any) {
	switch msg := msg.(type) {
	case stateQuery:
		msg.reply <- o.state
	case orderFaults:
		o.faults = msg.faults
	case orderMessage:
		msg.reply <- o.accept(msg.order)
	}
}

func (o *Orders) accept(order engine.OrderRecord) orderReply {
	if order.Fence < o.state.Fence && !o.settings.IgnoreFencing {
		return orderReply{fenced: true}
	}
	o.state.Fence = order.Fence
	o.state.Loading, o.state.Ready = &order.Target, false
	o.loadTimer.Arm(o.settings.LoadTime)
	lose := o.faults.LoseResponses > 0
	if lose {
		o.faults.LoseResponses--
	}
	return orderReply{loseResponse: lose}
}

func (o *Orders) finishLoading() {
	if o.state.Loading != nil {
		o.state.Loaded, o.state.Loading, o.state.Ready = *o.state.Loading, nil, true
	}
}

// Handler serves the state and order interface, and passes other requests to next,
// the handler of an engine.
func (o *Orders) Handler(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET "+engine.StatePath, o.handleState)
	mux.HandleFunc("PUT "+engine.StatePath, o.handleOrder)
	mux.HandleFunc("PUT /order-faults", o.handleFaults)
	return mux
}

func (o *Orders) handleState(w http.ResponseWriter, r *http.Request) {
	reply := make(chan engine.StateRecord, 1)
	if o.mailbox.Send(r.Context(), stateQuery{reply: reply}) != nil {
		return
	}
	select {
	case state := <-reply:
		httpjson.Write(w, state)
	case <-r.Context().Done():
	}
}

func (o *Orders) handleOrder(w http.ResponseWriter, r *http.Request) {
	record, ok := httpjson.Decode[engine.OrderRecord](w, r)
	if !ok {
		return
	}
	reply := make(chan orderReply, 1)
	if o.mailbox.Send(r.Context(), orderMessage{order: record, reply: reply}) != nil {
		return
	}
	select {
	case response := <-reply:
		if response.loseResponse {
			panic(http.ErrAbortHandler)
		}
		if response.fenced {
			http.Error(w, "the fencing token is lower than one already accepted; read the state of the endpoint", http.StatusConflict)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	case <-r.Context().Done():
	}
}

func (o *Orders) handleFaults(w http.ResponseWriter, r *http.Request) {
	if faults, ok := httpjson.Decode[OrderFaults](w, r); ok {
		_ = o.mailbox.Send(r.Context(), orderFaults{faults: faults})
		w.WriteHeader(http.StatusNoContent)
	}
}
