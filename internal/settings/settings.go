// Package settings loads and validates the YAML settings of a program. An
// unknown key, a value of the wrong type or a value out of range is an error that
// names the file, the line, the key and what to change.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	tokens "github.com/goccy/go-yaml/token"
	"github.com/zeebo/errs"
)

// Error is the class of all errors about settings.
var Error = errs.Class("settings")

// MaxFileBytes bounds the size of a settings file.
const MaxFileBytes = 4 << 20

// Load reads the file at path into settings, a pointer to a struct that holds the
// defaults, and validates the result.
func Load(path string, settings any) error {
	if path == "" {
		return Error.New("no settings file given; pass --config FILE")
	}
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Error.New("cannot read %s: %w; check the path and its permissions", path, err)
	}
	return Parse(path, data, settings)
}

// Parse decodes data into settings, a pointer to a struct that holds the
// defaults, and validates the result. Error messages contain name as the file name.
func Parse(name string, data []byte, settings any) error {
	if len(data) > MaxFileBytes {
		return Error.New("%s is larger than %d bytes; split the file", name, MaxFileBytes)
	}
	if err := decode(name, data, settings); err != nil {
		return err
	}
	if err := newValidator().Struct(settings); err != nil {
		return validationError(name, data, err)
	}
	return nil
}

// decode returns panics of the YAML library as errors: the library panics on
// malformed tags, such as "!00 00" for a list (found by fuzzing).
func decode(name string, data []byte, settings any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = Error.New("%s: malformed YAML: %v; correct the file", name, cause)
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.DisallowUnknownField())
	if err := decoder.Decode(settings); err != nil {
		return decodeError(name, data, err)
	}
	return nil
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return key
	})
	return v
}

func decodeError(name string, data []byte, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return unlocatedError(name, data, err)
	}
	token := located.GetToken()
	return Error.New("%s:%d: key or value %q: %s; correct or remove it, see the example in deploy/",
		name, token.Position.Line, token.Value, located.GetMessage())
}

// unlocatedError handles errors of value parsers such as time.ParseDuration,
// which quote the value but carry no position. It searches the file for the value.
func unlocatedError(name string, data []byte, err error) error {
	key := ""
	for _, token := range lexer.Tokenize(string(data)) {
		if token.Next != nil && token.Next.Type == tokens.MappingValueType {
			key = token.Value
			continue
		}
		if token.Value != "" && strings.Contains(err.Error(), strconv.Quote(token.Value)) {
			return Error.New("%s:%d: key %q: %w; correct the value, for example 250ms, 5s or 1h for a duration",
				name, token.Position.Line, key, err)
		}
	}
	return Error.New("%s: %w; correct the YAML", name, err)
}

func validationError(name string, data []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return Error.New("%s: %w", name, err)
	}
	var group errs.Group
	for _, field := range fields {
		_, key, _ := strings.Cut(field.Namespace(), ".")
		group.Add(Error.New("%s:%d: key %q has the value %q, which violates %q; set a value that satisfies the rule",
			name, keyLine(data, key), key, fmt.Sprint(field.Value()), rule(field)))
	}
	return group.Err()
}

func rule(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// keyLine returns the line of a key given as a dotted path. If the file lacks the
// key, it returns the line of its nearest parent in the file, or 1 without one.
func keyLine(data []byte, key string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 1
	}
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(key, ".[")
		key = key[:max(cut, 0)]
	}
	return 1
}
