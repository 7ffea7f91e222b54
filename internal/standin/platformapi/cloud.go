package platformapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
	"github.com/cornelhold/cornelhold/internal/task"
)

// Launch starts the endpoint of an instance and returns its address. The endpoint
// runs until ctx ends.
type Launch func(ctx context.Context, i platform.CloudInstance) (address string, err error)

// CloudSettings configures the cloud API stand-in.
type CloudSettings struct {
	// ListLag is the delay after which a change appears in the instance list.
	ListLag time.Duration `yaml:"list_lag" validate:"min=0"`
}

// CloudFaults are the faults to inject, set with PUT /v1/cloud/faults.
type CloudFaults struct {
	// Refuse lists the kinds of instances that can't be started.
	Refuse []Refusal `json:"refuse"`
	// LoseStartResponses is the number of instances that are started but whose
	// request's connection is closed without a response.
	LoseStartResponses int `json:"lose_start_responses"`
	// DelayMillis delays the response to every start.
	DelayMillis int `json:"delay_ms"`
}

// Refusal selects the starts to refuse; an empty field matches all values.
type Refusal struct {
	DataCentre string `json:"data_centre"`
	Class      string `json:"class"`
	// Market is "reclaimable" or "on_demand".
	Market string `json:"market"`
}

// Reclaim is the body of POST /v1/cloud/reclaim, which sends a reclaim notice to
// the reclaimable instances of a data centre, or to one instance.
type Reclaim struct {
	DataCentre   string `json:"data_centre"`
	ID           string `json:"id"`
	NoticeMillis int64  `json:"notice_ms"`
}

// Cloud is the task that owns the instances of the cloud API. The slices instances
// and cancels have the same indexes; tokens maps the token of a start to its index.
type Cloud struct {
	settings         CloudSettings
	launch           Launch
	list             *Instances
	mailbox          task.Mailbox[any]
	instances        []platform.CloudInstance
	tokens           map[string]int
	cancels          []context.CancelFunc
	version          uint64
	publishedVersion uint64
	blockedWatches   []cloudWatch
	faults           CloudFaults
}

type (
	cloudStart struct {
		request platform.StartRequest
		reply   chan cloudReply
	}
	cloudStop struct {
		id     string
		notice time.Duration
		reply  chan cloudReply
	}
	cloudWatch struct {
		after uint64
		block bool
		reply chan platform.CloudList
	}
	instanceStopped struct {
		index int
	}
	publishList struct {
		version   uint64
		instances []platform.Instance
	}
	cloudFaults struct {
		faults CloudFaults
	}
	cloudReclaim struct {
		reclaim Reclaim
	}
)

type cloudReply struct {
	instance     platform.CloudInstance
	refused      string
	loseResponse bool
	delay        time.Duration
}

// NewCloud returns a cloud API with no instances. It publishes its instances to
// the instance list, unless list is nil.
func NewCloud(settings CloudSettings, list *Instances, launch Launch) *Cloud {
	return &Cloud{
		settings: settings, launch: launch, list: list, version: 1,
		mailbox: task.NewMailbox[any](mailboxCapacity), tokens: make(map[string]int),
	}
}

// Run owns the instances until ctx ends.
func (c *Cloud) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-c.mailbox.Receive():
			c.step(ctx, msg)
		}
	}
}

func (c *Cloud) step(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case cloudStart:
		msg.reply <- c.start(ctx, msg.request)
	case cloudStop:
		reply := cloudReply{refused: "no such instance"}
		for index, i := range c.instances {
			if i.ID == msg.id {
				c.beginReclaim(index, msg.notice)
				reply = cloudReply{instance: c.instances[index]}
			}
		}
		msg.reply <- reply
	case cloudWatch:
		if c.version > msg.after {
			msg.reply <- platform.CloudList{Version: c.version, Instances: append([]platform.CloudInstance(nil), c.instances...)}
			return
		}
		if !msg.block {
			msg.reply <- platform.CloudList{Version: msg.after}
			return
		}
		c.blockedWatches = append(c.blockedWatches, msg)
	case instanceStopped:
		c.instances[msg.index].State = platform.StateStopped
		c.cancels[msg.index]()
		c.publishChange()
	case publishList:
		if msg.version > c.publishedVersion {
			c.publishedVersion = msg.version
			c.list.mailbox.TrySend(hostedMessage{instances: msg.instances})
		}
	case cloudFaults:
		c.faults = msg.faults
	case cloudReclaim:
		for index, i := range c.instances {
			if i.ID == msg.reclaim.ID || (msg.reclaim.ID == "" && i.DataCentre == msg.reclaim.DataCentre && i.Reclaimable) {
				c.beginReclaim(index, time.Duration(msg.reclaim.NoticeMillis)*time.Millisecond)
			}
		}
	}
}

func (c *Cloud) start(ctx context.Context, r platform.StartRequest) cloudReply {
	reply := cloudReply{delay: time.Duration(c.faults.DelayMillis) * time.Millisecond}
	if index, known := c.tokens[r.Token]; known {
		reply.instance = c.instances[index]
		return reply
	}
	if c.isRefused(r) {
		reply.refused = "no capacity for this class in this data centre"
		return reply
	}
	i := platform.CloudInstance{
		ID: fmt.Sprintf("i-%04d", len(c.instances)+1), Token: r.Token, Service: r.Service, Role: r.Role,
		DataCentre: r.DataCentre, Class: r.Class, Reclaimable: r.Reclaimable, State: platform.StateLive,
	}
	ctx, cancel := context.WithCancel(ctx)
	address, err := c.launch(ctx, i)
	if err != nil {
		cancel()
		reply.refused = err.Error()
		return reply
	}
	i.Address = address
	c.tokens[r.Token] = len(c.instances)
	c.instances = append(c.instances, i)
	c.cancels = append(c.cancels, cancel)
	c.publishChange()
	reply.instance = i
	if c.faults.LoseStartResponses > 0 {
		c.faults.LoseStartResponses--
		reply.loseResponse = true
	}
	return reply
}

func (c *Cloud) isRefused(r platform.StartRequest) bool {
	market := lo.Ternary(r.Reclaimable, "reclaimable", "on_demand")
	return lo.SomeBy(c.faults.Refuse, func(f Refusal) bool {
		return (f.DataCentre == "" || f.DataCentre == r.DataCentre) &&
			(f.Class == "" || f.Class == r.Class) && (f.Market == "" || f.Market == market)
	})
}

// beginReclaim marks a live instance as leaving and stops it after the notice.
func (c *Cloud) beginReclaim(index int, notice time.Duration) {
	if c.instances[index].State != platform.StateLive {
		return
	}
	c.instances[index].State = platform.StateLeaving
	c.instances[index].ReclaimInMillis = notice.Milliseconds()
	c.publishChange()
	time.AfterFunc(notice, func() { c.mailbox.TrySend(instanceStopped{index: index}) })
}

// publishChange increments the version, replies to the blocked watches, and
// updates the instance list after ListLag.
func (c *Cloud) publishChange() {
	c.version++
	watches := c.blockedWatches
	c.blockedWatches = nil
	for _, w := range watches {
		c.step(context.Background(), w)
	}
	if c.list == nil {
		return
	}
	msg := publishList{version: c.version, instances: toInstanceList(c.instances)}
	time.AfterFunc(c.settings.ListLag, func() { c.mailbox.TrySend(msg) })
}

// toInstanceList returns the entries of all instances that are not stopped.
func toInstanceList(instances []platform.CloudInstance) []platform.Instance {
	return lo.FilterMap(instances, func(i platform.CloudInstance, _ int) (platform.Instance, bool) {
		return platform.Instance{
			ID: i.ID, Service: i.Service, Address: i.Address, DataCentre: i.DataCentre, Class: i.Class,
			Reclaimable: i.Reclaimable, Role: i.Role, State: i.State, ReclaimInMillis: i.ReclaimInMillis,
		}, i.State != platform.StateStopped
	})
}

// Handler returns the HTTP interface of the cloud API.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/cloud/instances", c.handleWatch)
	mux.HandleFunc("POST /v1/cloud/instances", c.handleStart)
	mux.HandleFunc("DELETE /v1/cloud/instances/{id}", c.handleStop)
	mux.HandleFunc("PUT /v1/cloud/faults", func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := httpjson.Decode[CloudFaults](w, r); ok {
			c.post(w, r, cloudFaults{faults: faults})
		}
	})
	mux.HandleFunc("POST /v1/cloud/reclaim", func(w http.ResponseWriter, r *http.Request) {
		if reclaim, ok := httpjson.Decode[Reclaim](w, r); ok {
			c.post(w, r, cloudReclaim{reclaim: reclaim})
		}
	})
	return mux
}

func (c *Cloud) post(w http.ResponseWriter, r *http.Request, msg any) {
	_ = c.mailbox.Send(r.Context(), msg)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	reply := make(chan platform.CloudList, 1)
	if c.mailbox.Send(r.Context(), cloudWatch{after: after, block: waitMillis > 0, reply: reply}) != nil {
		return
	}
	wait := time.Duration(waitMillis) * time.Millisecond
	httpjson.LongPoll(w, r, reply, wait, platform.CloudList{Version: after})
}

func (c *Cloud) handleStart(w http.ResponseWriter, r *http.Request) {
	request, ok := httpjson.Decode[platform.StartRequest](w, r)
	if !ok {
		return
	}
	reply := make(chan cloudReply, 1)
	if c.mailbox.Send(r.Context(), cloudStart{request: request, reply: reply}) == nil {
		writeReply(w, r, reply)
	}
}

func (c *Cloud) handleStop(w http.ResponseWriter, r *http.Request) {
	notice, _ := strconv.Atoi(r.URL.Query().Get("notice_ms"))
	reply := make(chan cloudReply, 1)
	msg := cloudStop{id: r.PathValue("id"), notice: time.Duration(notice) * time.Millisecond, reply: reply}
	if c.mailbox.Send(r.Context(), msg) == nil {
		writeReply(w, r, reply)
	}
}

func writeReply(w http.ResponseWriter, r *http.Request, reply <-chan cloudReply) {
	select {
	case response := <-reply:
		timer := time.NewTimer(response.delay)
		defer timer.Stop()
		<-timer.C
		switch {
		case response.loseResponse:
			panic(http.ErrAbortHandler)
		case response.refused != "":
			http.Error(w, response.refused, http.StatusConflict)
		default:
			httpjson.Write(w, response.instance)
		}
	case <-r.Context().Done():
	}
}
