// Package httpjson contains what the HTTP interfaces of all stand-ins share.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 8 << 20

// MaxWait bounds how long a long poll is held open.
const MaxWait = 30 * time.Second

// Decode reads the body of a request. It answers with status 400 and reports
// false if the body is malformed.
func Decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
}

// Write answers with a JSON value.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Timeout returns a channel that fires after the wait of a long poll, and the
// function that releases its timer. Without a wait the channel never fires,
// because the owner of the data answers such a read at once.
func Timeout(wait time.Duration) (timeout <-chan time.Time, stop func()) {
	if wait <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(min(wait, MaxWait))
	return timer.C, func() { timer.Stop() }
}

// LongPoll answers with the value that the owner of the data sends, or with
// unchanged when the wait is over.
func LongPoll[T any](w http.ResponseWriter, r *http.Request, reply <-chan T, wait time.Duration, unchanged T) {
	timeout, release := Timeout(wait)
	defer release()
	select {
	case value := <-reply:
		Write(w, value)
	case <-timeout:
		Write(w, unchanged)
	case <-r.Context().Done():
	}
}

// Delay holds an answer back until d has passed or the client has left.
func Delay(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}
