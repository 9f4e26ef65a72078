package loader

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// maxNameBytes is the longest name of a service, target, route or data
// centre, in bytes.
const maxNameBytes = 100

// decoder fills structs from a tree and collects what does not fit.
//
// It reads the tags of a struct's fields:
//
//	default:"2s"     the value when the field is absent
//	min, max         the range, of numbers and durations
//	required:"true"  the field must be present
type decoder struct {
	tree     tree
	findings Findings
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// decode fills out, a pointer to a struct, from the tree.
func decode(t tree, out any) Findings {
	d := decoder{tree: t}
	d.structure(t.root, reflect.ValueOf(out).Elem(), "")
	return d.findings
}

func (d *decoder) value(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
	switch {
	case v.Type() == durationType:
		d.duration(n, v, tag, path)
	case reflect.PointerTo(v.Type()).Implements(textUnmarshalerType):
		d.text(n, v, path)
	case v.Kind() == reflect.Struct:
		d.structure(n, v, path)
	case v.Kind() == reflect.Map:
		d.items(n, v, path)
	case v.Kind() == reflect.Slice:
		d.list(n, v, tag, path)
	case v.Kind() == reflect.String:
		d.str(n, v, path)
	case v.Kind() == reflect.Bool:
		d.boolean(n, v, path)
	case v.CanInt():
		d.integer(n, v, tag, path)
	}
}

func (d *decoder) structure(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.add(n, path, "value is not a mapping", "fields of "+v.Type().Name())
		return
	}
	t := v.Type()
	given := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := joinPath(path, key.Value)
		field, ok := t.FieldByName(key.Value)
		if !ok || !field.IsExported() {
			d.add(key, at, "unknown field", "one of "+strings.Join(fieldNames(t), ", "))
			continue
		}
		given[key.Value] = true
		d.value(value, v.FieldByIndex(field.Index), field.Tag, at)
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if field.IsExported() && !given[field.Name] {
			d.absent(n, v.Field(i), field, path)
		}
	}
}

// absent gives a field that the document lacks its default.
func (d *decoder) absent(n *yaml.Node, v reflect.Value, field reflect.StructField, path string) {
	at := joinPath(path, field.Name)
	if field.Tag.Get("required") == "true" {
		d.add(n, at, "field is missing", "a value")
		return
	}
	if text, ok := field.Tag.Lookup("default"); ok {
		d.value(&yaml.Node{Kind: yaml.ScalarNode, Value: text}, v, field.Tag, at)
		return
	}
	if v.Kind() == reflect.Struct && !reflect.PointerTo(v.Type()).Implements(textUnmarshalerType) {
		d.structure(&yaml.Node{Kind: yaml.MappingNode, Line: n.Line, Column: n.Column}, v, at)
	}
}

func (d *decoder) items(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.add(n, path, "value is not a mapping", "items by name")
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(n.Content)/2))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := joinPath(path, key.Value)
		if !validName(key.Value) {
			d.add(key, at, "name is not usable", "letters, digits, '-', '_' and '.', at most 100")
		}
		item := reflect.New(v.Type().Elem()).Elem()
		d.value(value, item, "", at)
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), item)
	}
}

func (d *decoder) list(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
	if n.Kind != yaml.SequenceNode {
		d.add(n, path, "value is not a list", "a list such as [a, b]")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.value(item, v.Index(i), tag, fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) str(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.add(n, path, "value is not text", "text")
		return
	}
	v.SetString(n.Value)
}

func (d *decoder) boolean(n *yaml.Node, v reflect.Value, path string) {
	b, err := strconv.ParseBool(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.add(n, path, fmt.Sprintf("%q is not a truth value", n.Value), "true or false")
		return
	}
	v.SetBool(b)
}

func (d *decoder) text(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.add(n, path, "value is not text", "text")
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.add(n, path, fmt.Sprintf("%q is not valid", n.Value), wantOf(v, err))
	}
}

func (d *decoder) integer(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
	lo, hi := int64(math.MinInt32), int64(math.MaxInt32)
	if text := tag.Get("min"); text != "" {
		lo, _ = strconv.ParseInt(text, 10, 64)
	}
	if text := tag.Get("max"); text != "" {
		hi, _ = strconv.ParseInt(text, 10, 64)
	}
	want := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	i, err := strconv.ParseInt(n.Value, 10, 64)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.add(n, path, fmt.Sprintf("%q is not a whole number in range", n.Value), want)
		return
	}
	if i < lo || i > hi {
		d.add(n, path, fmt.Sprintf("%d is out of range", i), want)
		return
	}
	v.SetInt(i)
}

func (d *decoder) duration(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
	lo, hi := time.Duration(0), 24*time.Hour
	if text := tag.Get("min"); text != "" {
		lo, _ = time.ParseDuration(text)
	}
	if text := tag.Get("max"); text != "" {
		hi, _ = time.ParseDuration(text)
	}
	want := fmt.Sprintf("a duration from %s to %s, such as 250ms", lo, hi)
	dur, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.add(n, path, fmt.Sprintf("%q is not a duration", n.Value), want)
		return
	}
	if dur < lo || dur > hi {
		d.add(n, path, fmt.Sprintf("%s is out of range", dur), want)
		return
	}
	v.SetInt(int64(dur))
}

func (d *decoder) add(n *yaml.Node, path, problem, want string) {
	d.findings = append(d.findings, Finding{
		File:    d.tree.file(n),
		Line:    n.Line,
		Column:  n.Column,
		Path:    path,
		Problem: problem,
		Want:    want,
	})
}

// wantOf says what a text field accepts.
func wantOf(v reflect.Value, err error) string {
	switch e := v.Interface().(type) {
	case interface{ names() []string }:
		return "one of " + strings.Join(e.names(), ", ")
	case netip.AddrPort:
		return "an IP address and port such as 10.0.0.7:8080"
	default:
		return err.Error()
	}
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if t.Field(i).IsExported() {
			names = append(names, t.Field(i).Name)
		}
	}
	return names
}

// validName tells whether a name can stand in a path, a metric and a log.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' ||
			r == '-' || r == '_' || r == '.'
		if !ok {
			return false
		}
	}
	return true
}
