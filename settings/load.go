package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

const part = "settings"

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load reads and validates a settings file.
func Load(file string) (*Settings, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, part, "%s", file)
	}
	if info.Size() > maxFileBytes {
		return nil, fault.New(fault.Settings, part, "%s: larger than %d bytes", file, maxFileBytes)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, part, "%s", file)
	}
	return Parse(file, data)
}

// Parse parses and validates the contents of a settings file. file is the name
// that errors show.
func Parse(file string, data []byte) (*Settings, error) {
	src := &source{file: file, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, src.syntaxError(err)
	}
	src.root = root
	if err := src.checkFields(&src.root, reflect.TypeFor[Settings](), ""); err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, src.syntaxError(err)
	}
	s := Defaults()
	if root.Find("/platform") != nil {
		s.Platform = platformDefaults()
	}
	if err := json.Unmarshal(plain, &s); err != nil {
		return nil, src.typeError(err)
	}
	s.applyDefaults()
	if err := s.validate(src); err != nil {
		return nil, err
	}
	return &s, nil
}

// applyDefaults sets the defaults of optional sections. With discovery and without
// members, this VM becomes the only member.
func (s *Settings) applyDefaults() {
	if s.Discovery != nil && len(s.Members) == 0 {
		s.Members = []Member{{
			VM: s.VM, FailureDomain: s.FailureDomain, Address: s.Peers.Listen, Replica: s.Replica != nil,
		}}
	}
	if s.Entry != nil && s.Entry.AddressLifetimeSeconds == 0 {
		s.Entry.AddressLifetimeSeconds = defaultAddressLifetimeSeconds
	}
	if s.Replica != nil && s.Replica.CompactEveryEntries == 0 {
		s.Replica.CompactEveryEntries = defaultCompactEveryEntries
	}
}

// source is the text of a settings file, in which errors locate a field's line.
type source struct {
	file string
	data []byte
	root hujson.Value
}

func (s *source) line(offset int) int {
	return 1 + bytes.Count(s.data[:min(offset, len(s.data))], []byte{'\n'})
}

// fieldError returns an error for a field given by a JSON pointer such as
// /entry/listen. If the file does not have the field, the error has the line of the
// innermost enclosing section that exists.
func (s *source) fieldError(pointer, format string, args ...any) error {
	at := pointer
	for {
		if v := s.root.Find(at); v != nil {
			return s.errorAt(v.StartOffset, pointer, fmt.Sprintf(format, args...))
		}
		at = at[:strings.LastIndexByte(at, '/')]
	}
}

func (s *source) errorAt(offset int, pointer, text string) error {
	field := strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
	return fault.New(fault.Settings, part, "%s:%d: %s: %s", s.file, s.line(offset), field, text)
}

// syntaxErrorPrefix matches the position at the start of a parser error.
var syntaxErrorPrefix = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// syntaxError converts a parser error to the FILE:LINE format of other errors.
func (s *source) syntaxError(err error) error {
	text := err.Error()
	m := syntaxErrorPrefix.FindStringSubmatch(text)
	if m == nil {
		return fault.New(fault.Settings, part, "%s: %s", s.file, text)
	}
	return fault.New(fault.Settings, part, "%s:%s: column %s: %s", s.file, m[1], m[2], text[len(m[0]):])
}

func (s *source) typeError(err error) error {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		text := fmt.Sprintf("wants %s, not %s", describeType(typed.Type), typed.Value)
		return s.errorAt(int(typed.Offset), "/"+strings.ReplaceAll(typed.Field, ".", "/"), text)
	}
	return fault.New(fault.Settings, part, "%s: %v", s.file, err)
}

// describeType returns what a field of a type accepts.
func describeType(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number (fractions are allowed)"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "a section"
	}
	return typ.String()
}

// checkFields rejects unknown and duplicate fields at any depth.
func (s *source) checkFields(v *hujson.Value, typ reflect.Type, pointer string) error {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		if typ.Kind() == reflect.Struct {
			return s.checkObject(val, typ, pointer)
		}
	case *hujson.Array:
		if typ.Kind() == reflect.Slice {
			return s.checkArray(val, typ, pointer)
		}
	}
	return nil
}

func (s *source) checkObject(obj *hujson.Object, typ reflect.Type, pointer string) error {
	known := fieldTypes(typ)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		at := pointer + "/" + name
		field, ok := known[name]
		if !ok {
			return s.errorAt(m.Name.StartOffset, at, "unknown field")
		}
		if seen[name] {
			return s.errorAt(m.Name.StartOffset, at, "given twice")
		}
		seen[name] = true
		if err := s.checkFields(&m.Value, field, at); err != nil {
			return err
		}
	}
	return nil
}

func (s *source) checkArray(arr *hujson.Array, typ reflect.Type, pointer string) error {
	for i := range arr.Elements {
		at := fmt.Sprintf("%s/%d", pointer, i)
		if err := s.checkFields(&arr.Elements[i], typ.Elem(), at); err != nil {
			return err
		}
	}
	return nil
}

func fieldTypes(typ reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for f := range typ.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		out[name] = f.Type
	}
	return out
}
