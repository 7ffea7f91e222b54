package ticket

import (
	"encoding/json"
	"strings"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/settings"
)

// Object kinds.
const (
	KindService    = "service"
	KindModel      = "model"
	KindTeam       = "team"
	KindDataCentre = "data_centre"
)

// MaxRecordBytes limits the size of an encoded ticket.
const MaxRecordBytes = 1 << 20

// record is the JSON form of a ticket in the log.
type record struct {
	ID      string         `json:"id"`
	Number  uint64         `json:"number"`
	Schema  int            `json:"schema"`
	Author  string         `json:"author,omitempty"`
	Comment string         `json:"comment,omitempty"`
	Objects []objectRecord `json:"objects"`
}

type objectRecord struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// ParseFile decodes the YAML form of a ticket and validates its fields. name is
// the file name used in error messages.
func ParseFile(name string, data []byte) (Document, error) {
	var doc Document
	if err := settings.Parse(name, data, &doc); err != nil {
		return Document{}, Error.Wrap(err)
	}
	return doc, nil
}

// Objects returns the objects that the ticket sets or deletes.
func (d Document) Objects() ([]config.Object, error) {
	var objects []config.Object
	for _, group := range [][]config.Object{
		encodeAll(KindService, d.Services, func(s Service) string { return s.Name }),
		encodeAll(KindModel, d.Models, func(m Model) string { return m.Name }),
		encodeAll(KindTeam, d.Teams, func(t Team) string { return t.Name }),
		encodeAll(KindDataCentre, d.DataCentres, func(c DataCentre) string { return c.Name }),
	} {
		objects = append(objects, group...)
	}
	for _, path := range d.Delete {
		kind, name, _ := strings.Cut(path, "/")
		objects = append(objects, config.Object{Key: config.ObjectKey{Kind: kind, Name: name}, Deleted: true})
	}
	if len(objects) == 0 {
		return nil, Error.New("the ticket changes nothing; add at least one service, model, team, data centre or deletion")
	}
	if repeated := lo.FindDuplicatesBy(objects, func(o config.Object) config.ObjectKey { return o.Key }); len(repeated) > 0 {
		return nil, Error.New("object %s appears more than once; keep one entry with its complete new value", repeated[0].Key)
	}
	return objects, nil
}

func encodeAll[T any](kind string, values []T, name func(T) string) []config.Object {
	return lo.Map(values, func(v T, _ int) config.Object {
		return config.Object{
			Key:   config.ObjectKey{Kind: kind, Name: name(v)},
			Value: lo.Must(json.Marshal(v)),
		}
	})
}

// Encode returns the JSON form of a ticket in the log.
func Encode(t config.Ticket) (json.RawMessage, error) {
	data, err := json.Marshal(record{
		ID: t.ID, Number: uint64(t.Number), Schema: t.Schema, Author: t.Author, Comment: t.Comment,
		Objects: encodeObjects(t.Objects),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxRecordBytes {
		return nil, Error.New("the ticket is %d bytes long, the limit is %d; split it into several tickets", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode returns the ticket encoded in a log record.
func Decode(data []byte) (config.Ticket, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return config.Ticket{}, Error.New("malformed ticket record: %w; the record is skipped", err)
	}
	return config.Ticket{
		ID: r.ID, Number: config.Number(r.Number), Schema: r.Schema, Author: r.Author, Comment: r.Comment,
		Objects: decodeObjects(r.Objects),
	}, nil
}

// DecodeRecord decodes a record of the ticket stream. timeMillis is its append
// time in Unix milliseconds. A record that cannot be decoded is marked as
// malformed.
func DecodeRecord(offset uint64, timeMillis int64, data []byte) config.Record {
	t, err := Decode(data)
	return config.Record{Offset: offset, TimeMillis: timeMillis, Ticket: t, Malformed: err != nil}
}

func encodeObjects(objects []config.Object) []objectRecord {
	return lo.Map(objects, func(o config.Object, _ int) objectRecord {
		return objectRecord{Kind: o.Key.Kind, Name: o.Key.Name, Value: o.Value, Deleted: o.Deleted}
	})
}

func decodeObjects(records []objectRecord) []config.Object {
	return lo.Map(records, func(r objectRecord, _ int) config.Object {
		return config.Object{
			Key:   config.ObjectKey{Kind: r.Kind, Name: r.Name},
			Value: r.Value, Deleted: r.Deleted,
		}
	})
}
