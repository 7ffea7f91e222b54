package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type example struct {
	Listen string        `yaml:"listen" validate:"required,hostname_port"`
	Wait   time.Duration `yaml:"wait" validate:"min=0"`
	Items  []item        `yaml:"items" validate:"dive"`
}

type item struct {
	Name string `yaml:"name" validate:"required"`
}

// TestErrorsNameLineKeyAndRemedy guards against settings errors that do not say
// which line and key to correct and how.
func TestErrorsNameLineKeyAndRemedy(t *testing.T) {
	cases := map[string]struct {
		yaml string
		want []string
	}{
		"unknown key":    {"listen: 127.0.0.1:1\nlisten_on: x\n", []string{"f.yaml:2", "listen_on", "remove"}},
		"bad unit":       {"listen: 127.0.0.1:1\nwait: 5 parsecs\n", []string{"f.yaml:2", `"wait"`, "5 parsecs", "250ms"}},
		"bad value":      {"\nlisten: nowhere\n", []string{"f.yaml:2", "listen", "hostname_port"}},
		"nested value":   {"listen: 127.0.0.1:1\nitems:\n  - name: a\n  - name: ''\n", []string{"f.yaml:4", "items[1].name", "required"}},
		"missing key":    {"wait: 1s\n", []string{"f.yaml:1", "listen", "required"}},
		"duplicate key":  {"listen: 127.0.0.1:1\nlisten: 127.0.0.1:2\n", []string{"f.yaml:2", "listen"}},
		"malformed yaml": {"listen: [\n", []string{"f.yaml"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := Parse("f.yaml", []byte(c.yaml), &example{})
			is.True(err != nil)
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("error %q lacks %q", err, want)
				}
			}
		})
	}
}

// FuzzParse guards against malformed settings files that make Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("listen: 127.0.0.1:1\nitems: [{name: a}]\n"))
	f.Add([]byte("items: {a: [}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Parse("f.yaml", data, &example{})
	})
}
