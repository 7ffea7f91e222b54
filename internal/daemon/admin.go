package daemon

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
)

// Error is the class of errors about running a program.
var Error = errs.Class("daemon")

// adminHeaderTimeout bounds how long a client may take to send its headers.
const adminHeaderTimeout = 5 * time.Second

// Readiness is the state that /readyz reports to load balancers. An empty reason
// means that the process is ready. Its methods are safe for concurrent use.
type Readiness struct {
	reason atomic.Pointer[string]
}

// NewReadiness returns a Readiness with the reason "starting".
func NewReadiness() *Readiness {
	r := &Readiness{}
	r.Set("starting")
	return r
}

// Set records why the process is not ready; an empty reason means ready.
func (r *Readiness) Set(reason string) { r.reason.Store(&reason) }

// Reason returns why the process is not ready, or an empty string.
func (r *Readiness) Reason() string { return *r.reason.Load() }

type admin struct {
	server *http.Server
}

func startAdmin(address string, env *Env) (*admin, error) {
	if address == "" {
		return &admin{}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("admin server cannot listen on %s: %w; free the port or change the admin setting", address, err)
	}
	mux := env.Admin
	mux.Handle("GET /metrics", promhttp.HandlerFor(env.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := env.Ready.Reason(); reason != "" {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return &admin{server: server}, nil
}

func (a *admin) close() {
	if a.server != nil {
		_ = a.server.Close()
	}
}
