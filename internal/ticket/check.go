package ticket

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// ErrInvalid is the class of validation errors of a ticket.
var ErrInvalid = errs.Class("invalid ticket")

// checker collects the validation errors of one ticket file. resulting is the
// configuration after the ticket, nil if only the file is checked.
type checker struct {
	file      string
	doc       Document
	resulting *config.Spec
	group     errs.Group
}

// CheckStandalone validates what depends on the file alone: latency targets,
// operations and replicas. Check also validates references between objects,
// which needs the active configuration.
func CheckStandalone(file string, doc Document) error {
	c := &checker{file: file, doc: doc}
	c.checkServices()
	c.checkDeletions()
	return c.group.Err()
}

// Check validates the ticket on its own and the configuration that results from
// applying it to base. Each error names the file, the key and the remedy.
func Check(file string, doc Document, base *config.Snapshot) error {
	objects, err := doc.Objects()
	if err != nil {
		return err
	}
	resulting, _ := BuildSpec(base.With(objects))
	c := &checker{file: file, doc: doc, resulting: resulting}
	c.checkServices()
	c.checkDeletions()
	c.checkExistence(base)
	c.checkReferences()
	c.checkDataCentres()
	c.checkKeys()
	return c.group.Err()
}

func (c *checker) add(key, format string, args ...any) {
	c.group.Add(ErrInvalid.New("%s: key %s: %s", c.file, key, fmt.Sprintf(format, args...)))
}

func (c *checker) checkServices() {
	for i, s := range c.doc.Services {
		key := fmt.Sprintf("services[%d]", i)
		c.checkKind(key, s)
		c.checkTargets(key, s)
		c.checkReplicas(key, s)
	}
	for i, m := range c.doc.Models {
		if m.WeightBytes <= 0 {
			c.add(fmt.Sprintf("models[%d].weight_bytes", i), "model %s has no size; set the size of its weights in bytes", m.Name)
		}
	}
}

func (c *checker) checkKind(key string, s Service) {
	if s.Kind == "model" && len(s.Operations) > 0 {
		c.add(key+".operations", "a model service has no operations; remove them or set kind to plain")
	}
	if s.Kind == "plain" && (s.Model != "" || len(s.Adapters) > 0) {
		c.add(key+".model", "a plain service runs no model; remove model and adapters or set kind to model")
	}
	for _, name := range duplicates(s.Operations, func(o Operation) string { return o.Name }) {
		c.add(key+".operations", "operation %s appears more than once; keep one entry", name)
	}
}

func (c *checker) checkTargets(key string, s Service) {
	if s.FirstToken > s.Deadline {
		c.add(key+".first_token", "the target %v is later than the deadline %v; raise deadline or lower first_token", s.FirstToken, s.Deadline)
	}
	if s.BetweenTokens > s.Deadline {
		c.add(key+".between_tokens", "the target %v is longer than the deadline %v; lower between_tokens", s.BetweenTokens, s.Deadline)
	}
	for j, o := range s.Operations {
		if o.Latency > s.Deadline {
			c.add(fmt.Sprintf("%s.operations[%d].latency", key, j), "the target %v is longer than the deadline %v; raise deadline or lower latency", o.Latency, s.Deadline)
		}
	}
}

func (c *checker) checkReplicas(key string, s Service) {
	total := lo.SumBy(s.Replicas, func(r Replicas) int { return r.Reclaimable + r.OnDemand })
	if total == 0 {
		c.add(key+".replicas", "service %s has no replica; set reclaimable or on_demand, or delete the service", s.Name)
	}
	placement := func(r Replicas) string { return strings.Trim(r.DataCentre+"/"+r.Class+"/"+r.Role, "/") }
	for _, name := range duplicates(s.Replicas, placement) {
		c.add(key+".replicas", "replicas of %s appear more than once; add them up in one entry", name)
	}
}

func (c *checker) checkDeletions() {
	kinds := []string{KindService, KindModel, KindTeam, KindDataCentre}
	for i, path := range c.doc.Delete {
		kind, _, _ := strings.Cut(path, "/")
		if !slices.Contains(kinds, kind) {
			c.add(fmt.Sprintf("delete[%d]", i), "%q has an unknown kind; use one of %s", path, strings.Join(kinds, ", "))
		}
	}
}

func (c *checker) checkExistence(base *config.Snapshot) {
	for i, path := range c.doc.Delete {
		kind, name, _ := strings.Cut(path, "/")
		if _, found := base.Find(config.ObjectKey{Kind: kind, Name: name}); !found {
			c.add(fmt.Sprintf("delete[%d]", i), "%s is not part of the active configuration; remove the line", path)
		}
	}
}

// checkReferences validates every service of the resulting configuration, since
// a deletion can break a service that the ticket does not mention.
func (c *checker) checkReferences() {
	for _, name := range sortedKeys(c.resulting.Services) {
		s := c.resulting.Services[name]
		key := c.serviceKey(string(name))
		if _, found := c.resulting.Models[s.Model]; s.Kind == config.ServiceModel && !found {
			c.add(key+".model", "service %s needs model %q, which the resulting configuration lacks; add it under models or name an existing one", name, s.Model)
		}
		for _, r := range s.Replicas {
			c.checkPlacement(key, name, r)
		}
	}
}

func (c *checker) checkPlacement(key string, service fleet.ServiceName, r config.Replicas) {
	dc, found := c.resulting.DataCentres[r.DataCentre]
	if !found {
		c.add(key+".replicas", "service %s has replicas in data centre %q, which the resulting configuration lacks; add it under data_centres or move the replicas", service, r.DataCentre)
		return
	}
	if _, priced := dc.Prices[r.Class]; !priced && len(dc.Prices) > 0 {
		c.add(key+".replicas", "data centre %s has no price for class %q of service %s; add the class to its prices", r.DataCentre, r.Class, service)
	}
}

// serviceKey returns the key under which the file defines a service, or a key
// that points to the deletions if the file does not define it.
func (c *checker) serviceKey(name string) string {
	i := slices.IndexFunc(c.doc.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return "delete (service " + name + ")"
	}
	return fmt.Sprintf("services[%d]", i)
}

func (c *checker) checkDataCentres() {
	for i, dc := range c.doc.DataCentres {
		for _, other := range sortedKeys(dc.Distances) {
			if _, found := c.resulting.DataCentres[fleet.DataCentre(other)]; !found {
				c.add(fmt.Sprintf("data_centres[%d].distances", i), "data centre %q does not exist in the resulting configuration; add it or remove the distance", other)
			}
		}
	}
}

// checkKeys rejects an API key hash that two teams share, since a request with
// that key could not be assigned to one team.
func (c *checker) checkKeys() {
	owners := make(map[string]fleet.TeamName)
	for _, name := range sortedKeys(c.resulting.Teams) {
		for _, hash := range c.resulting.Teams[name].KeyHashes {
			hash = strings.ToLower(hash)
			if owner, duplicate := owners[hash]; duplicate {
				c.add("teams", "teams %s and %s have the API key hash %s in common; give each team its own key", owner, name, hash)
			}
			owners[hash] = name
		}
	}
}

func duplicates[T any](items []T, key func(T) string) []string {
	return lo.FindDuplicates(lo.Map(items, func(item T, _ int) string { return key(item) }))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}

// ObjectView is the form in which command-line output shows a configured object.
type ObjectView struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// View returns the objects in the form shown to operators.
func View(objects []config.Object) []ObjectView {
	return lo.Map(objects, func(o config.Object, _ int) ObjectView {
		return ObjectView{Kind: o.Key.Kind, Name: o.Key.Name, Value: o.Value, Deleted: o.Deleted}
	})
}
