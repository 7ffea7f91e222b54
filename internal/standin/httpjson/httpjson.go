// Package httpjson has the JSON, long polling and delay helpers of the stand-ins'
// HTTP handlers.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// MaxBodyBytes bounds the size of a request body.
const MaxBodyBytes = 8 << 20

// MaxWait bounds how long a long poll is held open.
const MaxWait = 30 * time.Second

// Decode decodes the JSON body of a request. If the body is malformed, it responds
// with status 400 and reports false.
func Decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var body T
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return body, false
	}
	return body, true
}

// Write responds with a value encoded as JSON.
func Write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// Timeout returns a channel that fires when the wait of a long poll is over, and a
// function that stops its timer. If wait isn't positive, the channel never fires:
// the owner of the data replies to such a read immediately.
func Timeout(wait time.Duration) (timeout <-chan time.Time, stop func()) {
	if wait <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(min(wait, MaxWait))
	return timer.C, func() { timer.Stop() }
}

// LongPoll responds with the value that the owner of the data sends on reply, or
// with unchanged if none arrives within wait.
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

// Delay blocks until d has passed or the client has closed the request.
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
