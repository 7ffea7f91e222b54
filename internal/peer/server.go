package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors in the communication between own instances.
var Error = errs.Class("peer")

const (
	headerTimeout = 2 * time.Second
	idleTimeout   = time.Minute
)

// Service registers one connect-go handler on the mux.
type Service func(mux *http.ServeMux)

// Serve serves the services over HTTP/1.1 and cleartext HTTP/2 until ctx ends.
func Serve(ctx context.Context, address string, services ...Service) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return Error.New("cannot listen on %s: %w; free the port or change the peer_listen setting", address, err)
	}
	mux := http.NewServeMux()
	for _, register := range services {
		register(mux)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Protocols: protocols}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(listener)
}
