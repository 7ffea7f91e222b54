package ticket

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/config"
)

// FuzzParseFile guards against ticket files that crash the client, and against
// files that pass the checks but cannot be decoded from the log.
func FuzzParseFile(f *testing.F) {
	for _, path := range []string{"../../deploy/hizakura/ticket.yaml", "../../deploy/rusev-daskalov/ticket.yaml"} {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("teams: [{name: a, weight: 1}]\ndelete: [team/b]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		doc, err := ParseFile("t.yaml", data)
		if err != nil {
			return
		}
		_ = CheckStandalone("t.yaml", doc)
		objects, err := doc.Objects()
		if err != nil {
			return
		}
		_ = Check("t.yaml", doc, &config.Snapshot{})
		encoded, err := Encode(config.Ticket{ID: "id", Number: 1, Objects: objects})
		if err != nil {
			return
		}
		decoded, err := Decode(encoded)
		is.NoErr(err)
		_, skipped := BuildSpec((&config.Snapshot{}).With(decoded.Objects))
		is.Equal(len(skipped), 0) // the routers decode each object that the client encodes
	})
}

// FuzzDecodeRecord guards readers against log records that crash them, and
// against a snapshot that changes when it is decoded and encoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"id":"a","number":1,"schema":1,"objects":[{"kind":"team","name":"x","value":{"name":"x"}}]}`))
	f.Add([]byte(`{"number":-1}`))
	f.Add([]byte(`{"number":1,"objects":[{"kind":"k","name":"n","value":null},{"kind":"k","name":"n","deleted":true}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		record := DecodeRecord(0, 0, data)
		if record.Malformed || !json.Valid(data) {
			return
		}
		fold := config.NewFold()
		if fold.Apply(0, record.Ticket) != config.VerdictAccepted {
			return
		}
		encoded, err := EncodeSnapshot(fold.Current())
		if err != nil {
			return
		}
		snapshot, err := DecodeSnapshot(encoded)
		is.NoErr(err)
		again, err := EncodeSnapshot(snapshot)
		is.NoErr(err)
		is.Equal(string(again), string(encoded))
	})
}

// TestCheckNamesFileKeyAndRemedy guards against accepting tickets with invalid
// values or dangling references, and against errors that don't name the file,
// the key and the remedy.
func TestCheckNamesFileKeyAndRemedy(t *testing.T) {
	base := `
services:
  - {name: dial-advisor, kind: model, model: cord, class: interactive, deadline: 5s,
     replicas: [{data_centre: kyushu-a, class: gpu, on_demand: 1}]}
models: [{name: cord, version: "1", weight_bytes: 10, context_tokens: 100}]
data_centres: [{name: kyushu-a, region: kyushu, prices: {gpu: {on_demand: 3}}}]
`
	cases := []struct{ change, key, remedy string }{
		{"delete: [model/cord]", "delete (service dial-advisor).model", "add it under models"},
		{"delete: [data_centre/kyushu-a]", "delete (service dial-advisor).replicas", "add it under data_centres"},
		{"delete: [team/nobody]", "delete[0]", "remove the line"},
		{"delete: [thing/x]", "delete[0]", "use one of"},
		{"data_centres: [{name: kyushu-a, region: kyushu, prices: {cpu: {on_demand: 3}}}]", "replicas", "add the class to its prices"},
		{"data_centres: [{name: b, region: kyushu, distances: {c: 2ms}}]", "data_centres[0].distances", "remove the distance"},
		{"models: [{name: m, version: \"1\", context_tokens: 5}]", "models[0].weight_bytes", "set the size"},
		{"services: [{name: s, kind: plain, class: interactive, deadline: 1s, replicas: [{data_centre: kyushu-a, class: gpu, on_demand: 1}], operations: [{name: o, class: interactive, latency: 2s}]}]", "services[0].operations[0].latency", "raise deadline"},
		{"services: [{name: s, kind: model, model: none, class: interactive, deadline: 1s, replicas: [{data_centre: kyushu-a, class: gpu, on_demand: 1}]}]", "services[0].model", "name an existing one"},
		{"services: [{name: s, kind: model, model: cord, class: interactive, deadline: 1s, replicas: [{data_centre: kyushu-a, class: gpu}]}]", "services[0].replicas", "set reclaimable or on_demand"},
	}
	is := is.New(t)
	doc, err := ParseFile("base.yaml", []byte(base))
	is.NoErr(err)
	objects, err := doc.Objects()
	is.NoErr(err)
	is.NoErr(Check("base.yaml", doc, &config.Snapshot{}))
	state := (&config.Snapshot{Number: 1}).With(objects)
	for _, c := range cases {
		change, err := ParseFile("t.yaml", []byte(c.change))
		is.NoErr(err)
		err = Check("t.yaml", change, state)
		is.True(ErrInvalid.Has(err))
		for _, part := range []string{"t.yaml", c.key, c.remedy} {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: error %q lacks %q", c.change, err, part)
			}
		}
	}
}
