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
	// MaxDocumentBytes is the maximum size of a document, in bytes.
	MaxDocumentBytes = 16 << 20
	// maxDepth is the maximum nesting depth; the top-level mapping has depth 0.
	maxDepth = 32
	// maxNodes is the number of YAML nodes at which a document is rejected. The
	// keys of mappings aren't counted.
	maxNodes = 2_000_000
)

// Document is a parsed YAML document whose nodes keep their line and column.
type Document struct {
	// File is the name used in findings.
	File string
	// root is the top-level mapping; nil for an empty document.
	root *yaml.Node
}

// Parse parses a single YAML document. The file name is only used in findings.
// Syntax errors, aliases, duplicate keys and empty values are findings.
//
// The document is empty if it is too large, isn't valid YAML, or isn't a single
// mapping. After any other finding it keeps its content, so that Render can
// report further findings.
func Parse(file string, data []byte) (Document, Findings) {
	d := Document{File: file}
	if len(data) > MaxDocumentBytes {
		return d, d.findingAt(nil, "", "document is too large", fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
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
		return d, d.findingAt(&rest, "", "more than one document in the file", "a single document")
	}
	root := top.Content[0]
	if root.Kind != yaml.MappingNode {
		return d, d.findingAt(root, "", "top level is not a mapping", "named fields")
	}
	d.root = root
	c := documentChecker{doc: d}
	c.checkNode(root, "", 0)
	return d, c.findings.sorted()
}

// MustParse is like Parse but panics if there are findings. It is meant for
// tests and examples.
func MustParse(file, text string) Document {
	d, findings := Parse(file, []byte(text))
	if len(findings) > 0 {
		panic(findings)
	}
	return d
}

// Empty reports whether the document has no top-level mapping. A document with
// an empty mapping is not empty.
func (d Document) Empty() bool { return d.root == nil }

// JSON returns the canonical form of the document: JSON with sorted keys, in
// which every scalar is a string with the text that the operator wrote.
func (d Document) JSON() ([]byte, error) {
	if d.root == nil {
		return []byte("{}"), nil
	}
	return json.Marshal(jsonValue(d.root))
}

// jsonValue converts a node to maps, slices and strings for json.Marshal.
func jsonValue(n *yaml.Node) any {
	switch n.Kind {
	case yaml.MappingNode:
		m := make(map[string]any, len(n.Content)/2)
		for i := 0; i+1 < len(n.Content); i += 2 {
			m[n.Content[i].Value] = jsonValue(n.Content[i+1])
		}
		return m
	case yaml.SequenceNode:
		list := make([]any, len(n.Content))
		for i, item := range n.Content {
			list[i] = jsonValue(item)
		}
		return list
	default:
		return n.Value
	}
}

// YAML returns the document as YAML text in block style.
func (d Document) YAML() ([]byte, error) {
	if d.root == nil {
		return []byte("{}\n"), nil
	}
	return yaml.Marshal(blockStyle(d.root))
}

// blockStyle returns a deep copy of a node in block style, with quotes only
// where they are needed.
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
	// Without a tag, the encoder doesn't quote strings such as "12", which decode
	// reads the same. Text that would be read as null needs quotes, since Parse
	// rejects null.
	out.Tag = ""
	if out.ShortTag() == "!!null" {
		out.Tag = "!!str"
	}
	return &out
}

// findingAt returns a single finding at a node of the document. If n is nil, its
// position is unknown.
func (d Document) findingAt(n *yaml.Node, path, problem, want string) Findings {
	f := Finding{File: d.File, Path: path, Problem: problem, Want: want}
	if n != nil {
		f.Line, f.Column = n.Line, n.Column
	}
	return Findings{f}
}

// syntaxFinding converts an error of the YAML library to a finding. The error
// gives the line, but no column, in the form "yaml: line 3: message".
func syntaxFinding(file string, err error) Finding {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	f := Finding{File: file, Line: 1, Column: 1, Problem: text, Want: "valid YAML"}
	numbered, ok := strings.CutPrefix(text, "line ")
	if !ok {
		return f
	}
	digits, rest, ok := strings.Cut(numbered, ": ")
	if !ok {
		return f
	}
	if n, err := strconv.Atoi(digits); err == nil {
		f.Line, f.Problem = n, rest
	}
	return f
}

// documentChecker checks the rules that every document must follow, whatever
// its fields are.
type documentChecker struct {
	doc      Document
	findings Findings
	// nodes is the number of nodes checked so far.
	nodes int
}

func (c *documentChecker) checkNode(n *yaml.Node, path string, depth int) {
	c.nodes++
	if c.nodes == maxNodes {
		c.addFinding(n, path, "document has too many values", fmt.Sprintf("fewer than %d", maxNodes))
	}
	if c.nodes >= maxNodes {
		return
	}
	if depth > maxDepth {
		c.addFinding(n, path, "nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return
	}
	switch n.Kind {
	case yaml.AliasNode:
		c.addFinding(n, path, "alias is not supported", "the value itself")
	case yaml.MappingNode:
		c.checkMapping(n, path, depth)
	case yaml.SequenceNode:
		for i, item := range n.Content {
			c.checkNode(item, fmt.Sprintf("%s[%d]", path, i), depth+1)
		}
	case yaml.ScalarNode:
		if n.Tag == "!!null" {
			c.addFinding(n, path, "value is empty", "a value, or Remove: true in an overlay")
		}
	}
}

func (c *documentChecker) checkMapping(n *yaml.Node, path string, depth int) {
	seen := make(map[string]*yaml.Node, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		if key.Kind != yaml.ScalarNode || key.Tag == "!!merge" || key.Tag == "!!null" {
			c.addFinding(key, path, "key is not a plain name", "a name")
			continue
		}
		keyPath := joinPath(path, key.Value)
		if previous, ok := seen[key.Value]; ok {
			c.addFinding(key, keyPath, fmt.Sprintf("name stands twice, first at line %d", previous.Line), "each name once")
		}
		seen[key.Value] = key
		c.checkNode(value, keyPath, depth+1)
	}
}

func (c *documentChecker) addFinding(n *yaml.Node, path, problem, want string) {
	c.findings = append(c.findings, c.doc.findingAt(n, path, problem, want)...)
}

// joinPath appends a name to a dotted path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
