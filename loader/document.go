package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

const (
	// MaxDocumentBytes is the largest document accepted, in bytes.
	MaxDocumentBytes = 16 << 20
	// maxDepth is the deepest nesting accepted, in levels.
	maxDepth = 32
	// maxNodes is the largest number of YAML nodes in one document.
	maxNodes = 2_000_000
)

// Document is one parsed YAML document whose nodes remember their places.
type Document struct {
	// File is the name used in findings.
	File string
	// root is the top mapping; nil for an empty document.
	root *yaml.Node
}

// Parse reads one YAML document. The file name is used in findings only.
// Syntax errors, aliases, duplicate keys and empty values are findings.
func Parse(file string, data []byte) (Document, Findings) {
	d := Document{File: file}
	if len(data) > MaxDocumentBytes {
		return d, d.found(nil, "", "document is too large", fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var top yaml.Node
	err := dec.Decode(&top)
	if errors.Is(err, io.EOF) {
		return d, nil
	}
	if err != nil {
		return d, Findings{syntaxFinding(file, err)}
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); !errors.Is(err, io.EOF) {
		return d, d.found(&rest, "", "more than one document in the file", "a single document")
	}
	root := top.Content[0]
	if root.Kind != yaml.MappingNode {
		return d, d.found(root, "", "top level is not a mapping", "named fields")
	}
	d.root = root
	c := treeChecker{doc: d}
	c.check(root, "", 0)
	return d, c.findings.sorted()
}

// MustParse is Parse for documents that are known to be right; it panics on
// findings, so it belongs in tests and examples only.
func MustParse(file, text string) Document {
	d, findings := Parse(file, []byte(text))
	if len(findings) > 0 {
		panic(findings)
	}
	return d
}

// Empty tells whether the document holds nothing, not even an empty mapping.
func (d Document) Empty() bool { return d.root == nil }

// JSON returns the document in its canonical form: JSON with sorted names, in
// which every scalar is text as the operator wrote it.
func (d Document) JSON() ([]byte, error) {
	if d.root == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(plain(d.root))
}

// plain turns a node into maps, slices and strings.
func plain(n *yaml.Node) any {
	switch n.Kind {
	case yaml.MappingNode:
		m := make(map[string]any, len(n.Content)/2)
		for i := 0; i+1 < len(n.Content); i += 2 {
			m[n.Content[i].Value] = plain(n.Content[i+1])
		}
		return m
	case yaml.SequenceNode:
		list := make([]any, len(n.Content))
		for i, item := range n.Content {
			list[i] = plain(item)
		}
		return list
	default:
		return n.Value
	}
}

// YAML returns the document as YAML text.
func (d Document) YAML() ([]byte, error) {
	if d.root == nil {
		return []byte("{}\n"), nil
	}
	return yaml.Marshal(blockStyle(d.root))
}

// blockStyle returns a copy of a node that is written one item a line, with
// quotes only where they are needed.
func blockStyle(n *yaml.Node) *yaml.Node {
	out := *n
	out.Style = 0
	out.Content = make([]*yaml.Node, len(n.Content))
	for i, c := range n.Content {
		out.Content[i] = blockStyle(c)
	}
	if n.Kind != yaml.ScalarNode {
		return &out
	}
	out.Tag = ""
	if out.ShortTag() == "!!null" {
		out.Tag = "!!str"
	}
	return &out
}

// found makes a single finding at a node of the document.
func (d Document) found(n *yaml.Node, path, problem, want string) Findings {
	f := Finding{File: d.File, Path: path, Problem: problem, Want: want}
	if n != nil {
		f.Line, f.Column = n.Line, n.Column
	}
	return Findings{f}
}

// syntaxFinding turns an error of the YAML library into a finding. The
// library gives the line only, inside its text.
func syntaxFinding(file string, err error) Finding {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	f := Finding{File: file, Line: 1, Column: 1, Problem: text, Want: "valid YAML"}
	after, ok := strings.CutPrefix(text, "line ")
	if !ok {
		return f
	}
	digits, rest, ok := strings.Cut(after, ": ")
	if !ok {
		return f
	}
	if n, err := strconv.Atoi(digits); err == nil {
		f.Line, f.Problem = n, rest
	}
	return f
}

// treeChecker finds what no document may contain, whatever its fields.
type treeChecker struct {
	doc      Document
	findings Findings
	// nodes counts the nodes seen so far.
	nodes int
}

func (c *treeChecker) check(n *yaml.Node, path string, depth int) {
	c.nodes++
	if c.nodes == maxNodes {
		c.add(n, path, "document has too many values", fmt.Sprintf("fewer than %d", maxNodes))
	}
	if c.nodes >= maxNodes {
		return
	}
	if depth > maxDepth {
		c.add(n, path, "nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return
	}
	switch n.Kind {
	case yaml.AliasNode:
		c.add(n, path, "alias is not supported", "the value itself")
	case yaml.MappingNode:
		c.checkMapping(n, path, depth)
	case yaml.SequenceNode:
		for i, item := range n.Content {
			c.check(item, fmt.Sprintf("%s[%d]", path, i), depth+1)
		}
	case yaml.ScalarNode:
		if n.Tag == "!!null" {
			c.add(n, path, "value is empty", "a value, or Remove: true in an overlay")
		}
	}
}

func (c *treeChecker) checkMapping(n *yaml.Node, path string, depth int) {
	seen := make(map[string]*yaml.Node, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode || key.Tag == "!!merge" || key.Tag == "!!null" {
			c.add(key, path, "key is not a plain name", "a name")
			continue
		}
		at := join(path, key.Value)
		if first, ok := seen[key.Value]; ok {
			c.add(key, at, fmt.Sprintf("name stands twice, first at line %d", first.Line), "each name once")
		}
		seen[key.Value] = key
		c.check(value, at, depth+1)
	}
}

func (c *treeChecker) add(n *yaml.Node, path, problem, want string) {
	c.findings = append(c.findings, c.doc.found(n, path, problem, want)...)
}

// join appends a name to a dotted path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
