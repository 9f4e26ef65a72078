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

// maxNameBytes is the maximum length of the name of a service, target, route
// or data centre, in bytes.
const maxNameBytes = 100

// decoder decodes a document into structs and collects the findings. The keys of
// a mapping are the names of the struct's exported fields, which may have tags:
//
//	default:"2s"     the value of an absent field
//	min, max         the range of a number or duration, both inclusive; in a
//	                 list, that of each item
//	required:"true"  the field must be present
//
// Without min and max, a number must fit in a signed 32-bit integer, and a
// duration must be from 0 to 24 h. An absent field that is a struct gets the
// defaults of its own fields.
type decoder struct {
	tree     mergedTree
	findings Findings
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// decode decodes a merged document into out, a pointer to a struct.
func decode(t mergedTree, out any) Findings {
	d := decoder{tree: t}
	d.decodeStruct(t.root, reflect.ValueOf(out).Elem(), "")
	return d.findings
}

func (d *decoder) decodeValue(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
	switch {
	case v.Type() == durationType:
		d.decodeDuration(n, v, tag, path)
	case reflect.PointerTo(v.Type()).Implements(textUnmarshalerType):
		d.decodeText(n, v, path)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(n, v, path)
	case v.Kind() == reflect.Map:
		d.decodeMap(n, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(n, v, tag, path)
	case v.Kind() == reflect.String:
		d.decodeString(n, v, path)
	case v.Kind() == reflect.Bool:
		d.decodeBool(n, v, path)
	case v.CanInt():
		d.decodeInt(n, v, tag, path)
	}
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.addFinding(n, path, "value is not a mapping", "fields of "+v.Type().Name())
		return
	}
	t := v.Type()
	present := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := joinPath(path, key.Value)
		field, ok := t.FieldByName(key.Value)
		if !ok || !field.IsExported() {
			d.addFinding(key, fieldPath, "unknown field", "one of "+strings.Join(fieldNames(t), ", "))
			continue
		}
		present[key.Value] = true
		d.decodeValue(value, v.FieldByIndex(field.Index), field.Tag, fieldPath)
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if field.IsExported() && !present[field.Name] {
			d.decodeAbsent(n, v.Field(i), field, path)
		}
	}
}

// decodeAbsent sets the default of a field that is absent from node n, or
// reports a required field as missing.
func (d *decoder) decodeAbsent(n *yaml.Node, v reflect.Value, field reflect.StructField, path string) {
	fieldPath := joinPath(path, field.Name)
	if field.Tag.Get("required") == "true" {
		d.addFinding(n, fieldPath, "field is missing", "a value")
		return
	}
	if text, ok := field.Tag.Lookup("default"); ok {
		d.decodeValue(&yaml.Node{Kind: yaml.ScalarNode, Value: text}, v, field.Tag, fieldPath)
		return
	}
	if v.Kind() == reflect.Struct && !reflect.PointerTo(v.Type()).Implements(textUnmarshalerType) {
		d.decodeStruct(&yaml.Node{Kind: yaml.MappingNode, Line: n.Line, Column: n.Column}, v, fieldPath)
	}
}

func (d *decoder) decodeMap(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.addFinding(n, path, "value is not a mapping", "items by name")
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(n.Content)/2))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		itemPath := joinPath(path, key.Value)
		if !validName(key.Value) {
			d.addFinding(key, itemPath, "name is not usable", "letters, digits, '-', '_' and '.', at most 100")
		}
		item := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(value, item, "", itemPath)
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), item)
	}
}

func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
	if n.Kind != yaml.SequenceNode {
		d.addFinding(n, path, "value is not a list", "a list such as [a, b]")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.decodeValue(item, v.Index(i), tag, fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeString(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.addFinding(n, path, "value is not text", "text")
		return
	}
	v.SetString(n.Value)
}

func (d *decoder) decodeBool(n *yaml.Node, v reflect.Value, path string) {
	b, err := strconv.ParseBool(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.addFinding(n, path, fmt.Sprintf("%q is not a truth value", n.Value), "true or false")
		return
	}
	v.SetBool(b)
}

func (d *decoder) decodeText(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.addFinding(n, path, "value is not text", "text")
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.addFinding(n, path, fmt.Sprintf("%q is not valid", n.Value), acceptedValues(v, err))
	}
}

func (d *decoder) decodeInt(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
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
		d.addFinding(n, path, fmt.Sprintf("%q is not a whole number in range", n.Value), want)
		return
	}
	if i < lo || i > hi {
		d.addFinding(n, path, fmt.Sprintf("%d is out of range", i), want)
		return
	}
	v.SetInt(i)
}

func (d *decoder) decodeDuration(n *yaml.Node, v reflect.Value, tag reflect.StructTag, path string) {
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
		d.addFinding(n, path, fmt.Sprintf("%q is not a duration", n.Value), want)
		return
	}
	if dur < lo || dur > hi {
		d.addFinding(n, path, fmt.Sprintf("%s is out of range", dur), want)
		return
	}
	v.SetInt(int64(dur))
}

func (d *decoder) addFinding(n *yaml.Node, path, problem, want string) {
	d.findings = append(d.findings, Finding{
		File:    d.tree.fileOf(n),
		Line:    n.Line,
		Column:  n.Column,
		Path:    path,
		Problem: problem,
		Want:    want,
	})
}

// acceptedValues returns Finding.Want for a value that UnmarshalText has
// rejected. The text of err is used for types that aren't listed here, and so
// has to name what they accept.
func acceptedValues(v reflect.Value, err error) string {
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

// validName reports whether s can be used in a path, a metric and a log.
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
