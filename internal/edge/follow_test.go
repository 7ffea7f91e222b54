package edge

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
	"github.com/cornelhold/cornelhold/platform"
)

// startFollower follows a topic of a store whose first reads fail as the statuses state, and
// returns a channel that receives true for each successful read, false for each outage.
func startFollower(t *testing.T, statuses ...int) <-chan bool {
	t.Helper()
	var reads atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := int(reads.Add(1)); n <= len(statuses) && statuses[n-1] != http.StatusOK {
			w.WriteHeader(statuses[n-1])
			return
		}
		_, _ = w.Write([]byte(`{"items":[],"end":0}`))
	}))
	t.Cleanup(server.Close)
	results := make(chan bool, 8)
	f := &follower{
		store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), topic: "keyed.x",
		log: &log.Logger{Handler: discard.New()}, untilRead: func() time.Duration { return time.Hour },
		retryDelay: func() time.Duration { return time.Millisecond }, applied: func() storelog.Position { return 0 }, completeReadDelay: func() time.Duration { return 0 }, isReader: func() bool { return false },
		onRecords: func(context.Context, topicRead) { results <- true },
		onOutage:  func(context.Context) { results <- false }, onRecovery: func(context.Context) {},
	}
	go func() { _ = f.run(t.Context()) }()
	return results
}

// TestSingleFailedReadIsNoOutage guards against an instance that uses an outdated list since
// the store closed a connection that was idle while the instance did not run (rule DRAIN).
func TestSingleFailedReadIsNoOutage(t *testing.T) {
	is := is.New(t)
	is.True(<-startFollower(t, http.StatusServiceUnavailable))
	is.True(!<-startFollower(t, http.StatusServiceUnavailable, http.StatusServiceUnavailable))
}

// TestChangeAtReusedOffsetIsRead guards against a follower that goes on from its old offset after
// the store came back from an older copy, and misses the record that got an offset before (rule
// CONFIG, review case 13).
func TestChangeAtReusedOffsetIsRead(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	store := userplatform.StartStore(ctx)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	store.Serve(ctx, l)
	read := make(chan string, 8)
	f := &follower{
		store: platform.NewStore(l.Addr().String()), topic: platform.TopicConfig, wait: 300 * time.Millisecond,
		log: &log.Logger{Handler: discard.New()}, untilRead: func() time.Duration { return 0 },
		retryDelay: func() time.Duration { return 10 * time.Millisecond }, applied: func() storelog.Position { return 0 }, completeReadDelay: func() time.Duration { return 0 }, isReader: func() bool { return false },
		onRecords: func(_ context.Context, r topicRead) {
			for _, record := range r.batch.Records {
				read <- string(record.Value)
			}
		},
		onOutage: func(context.Context) {}, onRecovery: func(context.Context) {},
	}
	store.Put(userplatform.ConfigTopic, userplatform.ConfigKey, []byte("v1"))
	go func() { _ = f.run(ctx) }()
	is.Equal(<-read, "v1")
	store.Put(userplatform.ConfigTopic, userplatform.ConfigKey, []byte("v2"))
	is.Equal(<-read, "v2")
	// The copy has neither. The operator writes v2 again, then v3 at the offset of v2, while the
	// read of the follower still hangs.
	b := userplatform.Rollback{CopyAge: time.Minute, Silent: true}
	store.Suspend(b)
	time.Sleep(100 * time.Millisecond)
	store.RollBack(b)
	time.Sleep(100 * time.Millisecond)
	store.Put(userplatform.ConfigTopic, userplatform.ConfigKey, []byte("v3"))
	limit := time.After(5 * time.Second)
	for {
		select {
		case value := <-read:
			if value == "v3" {
				return
			}
		case <-limit:
			t.Fatal("the change after the return was not read")
		}
	}
}

// TestListOfPeerSparesACompleteRead guards against complete reads by all instances at the same time
// after the store came back from an older copy: one that gets the list from a peer meanwhile goes
// on from there, and the others wait for their turn.
func TestListOfPeerSparesACompleteRead(t *testing.T) {
	is := is.New(t)
	var epoch, complete, applied atomic.Int64
	var isReader atomic.Bool
	from := make(chan string, 1024)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", strconv.FormatInt(epoch.Load(), 10))
		if r.URL.Path == "/log-newest" {
			complete.Add(1)
			_, _ = w.Write([]byte(`{"items":[],"end":9}`))
			return
		}
		select {
		case from <- r.URL.Query().Get("from"):
		default:
		}
		_, _ = w.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, 9), 0))
	}))
	t.Cleanup(server.Close)
	const delay = 500 * time.Millisecond
	f := &follower{
		store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), topic: "keyed.x", log: &log.Logger{Handler: discard.New()},
		untilRead: func() time.Duration { return 0 }, retryDelay: func() time.Duration { return time.Millisecond },
		completeReadDelay: func() time.Duration { return delay }, isReader: isReader.Load, wait: time.Millisecond,
		applied:   func() storelog.Position { return storelog.Position(applied.Load()) },
		onRecords: func(ctx context.Context, _ topicRead) { sleep(ctx, time.Millisecond) },
		onOutage:  func(context.Context) {}, onRecovery: func(context.Context) {},
	}
	go func() { _ = f.run(t.Context()) }()
	is.Equal(<-from, "9")
	is.Equal(complete.Load(), int64(1))
	epoch.Store(1)
	time.Sleep(delay / 5)
	applied.Store(int64(inEpoch(1, 4))) // a peer has delivered the list
	for <-from != "4" {
		is.Equal(complete.Load(), int64(1))
	}
	is.Equal(complete.Load(), int64(1))
	rolledBack := time.Now()
	epoch.Store(2)
	for complete.Load() == 1 {
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(rolledBack) >= delay) // The reader of the data centre does not wait.
	isReader.Store(true)
	rolledBack = time.Now()
	epoch.Store(3)
	for complete.Load() == 2 {
		time.Sleep(time.Millisecond)
	}
	is.True(time.Since(rolledBack) < delay)
}
