package engine

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/order"
)

// TestOrderStopsWhenPermitEnds guards against sending an order whose permit
// ended after it was planned and before it was written to the connection.
func TestOrderStopsWhenPermitEnds(t *testing.T) {
	is := is.New(t)
	received := make(chan OrderRecord, 2)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var record OrderRecord
		if json.NewDecoder(r.Body).Decode(&record) == nil {
			received <- record
		}
	}))
	client, address := NewOrderClient(), server.Listener.Addr().String()
	target := order.Target{Model: "cord", Version: "7"}
	result := client.Send(t.Context(), address, 4, target, func() bool { return false })
	is.Equal(result, order.ResultNotSent)
	result = client.Send(t.Context(), address, 5, target, func() bool { return true })
	is.Equal(result, order.ResultAccepted)
	server.Close()
	is.Equal((<-received).Fence, uint64(5)) // the order without a permit never arrived
}
