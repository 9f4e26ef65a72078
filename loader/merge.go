package loader

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Marks that an overlay's items may carry beside their fields.
const (
	markAdd    = "Add"
	markRemove = "Remove"
)

// tree is a merged document whose nodes know the file that they came from.
type tree struct {
	root *yaml.Node
	// files names the overlay file of each node taken from the overlay; every
	// other node came from the base.
	files map[*yaml.Node]string
	base  string
}

func (t tree) file(n *yaml.Node) string {
	if f, ok := t.files[n]; ok {
		return f
	}
	return t.base
}

// merge lays the overlay over the base. Mappings merge by name, every other
// value of the overlay replaces that of the base. A named item that the base
// lacks needs "Add: true"; "Remove: true" takes an item out.
func merge(base, overlay Document) (tree, Findings) {
	m := merger{
		overlay: overlay,
		tree:    tree{files: map[*yaml.Node]string{}, base: base.File},
	}
	root := base.root
	if root == nil {
		root = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: 1, Column: 1}
	}
	if overlay.root != nil {
		root = m.mapping(root, overlay.root, nil)
	}
	m.tree.root = root
	return m.tree, m.findings
}

type merger struct {
	overlay  Document
	tree     tree
	findings Findings
}

// mapping returns a new mapping; neither of its arguments is changed.
func (m *merger) mapping(base, over *yaml.Node, path []string) *yaml.Node {
	out := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: base.Line, Column: base.Column}
	out.Content = append(out.Content, base.Content...)
	index := make(map[string]int, len(base.Content)/2)
	for i := 0; i+1 < len(out.Content); i += 2 {
		index[out.Content[i].Value] = i
	}
	removed := map[int]bool{}
	for i := 0; i+1 < len(over.Content); i += 2 {
		key, value := over.Content[i], over.Content[i+1]
		at := append(slices.Clone(path), key.Value)
		pos, known := index[key.Value]
		switch {
		case known && takeMark(value, markRemove):
			removed[pos] = true
		case known:
			out.Content[pos+1] = m.value(out.Content[pos+1], value, at)
		case takeMark(value, markRemove):
			m.add(key, at, "overlay removes what the base lacks", "a name of the base")
		case isNamedItem(path) && !takeMark(value, markAdd):
			m.add(key, at, "overlay names what the base lacks", "a name of the base, or Add: true")
		default:
			m.adopt(key)
			m.adopt(value)
			out.Content = append(out.Content, key, stripMark(value, markAdd, m))
		}
	}
	if len(removed) > 0 {
		out.Content = without(out.Content, removed)
	}
	return out
}

func (m *merger) value(base, over *yaml.Node, path []string) *yaml.Node {
	if base.Kind == yaml.MappingNode && over.Kind == yaml.MappingNode {
		return m.mapping(base, over, path)
	}
	m.adopt(over)
	return over
}

// adopt notes that a node and all below it came from the overlay.
func (m *merger) adopt(n *yaml.Node) {
	m.tree.files[n] = m.overlay.File
	for _, c := range n.Content {
		m.adopt(c)
	}
}

func (m *merger) add(n *yaml.Node, path []string, problem, want string) {
	at := strings.Join(path, ".")
	m.findings = append(m.findings, m.overlay.findingAt(n, at, problem, want)...)
}

// isNamedItem tells whether the mapping at path holds items that operators
// name, rather than fields of a struct.
func isNamedItem(path []string) bool {
	switch len(path) {
	case 1:
		return path[0] == "DataCentres" || path[0] == "Services"
	case 3:
		return path[0] == "Services" && (path[2] == "Routes" || path[2] == "Targets")
	}
	return false
}

// takeMark tells whether the item carries the mark with the value true.
func takeMark(n *yaml.Node, mark string) bool {
	if n.Kind != yaml.MappingNode {
		return false
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == mark {
			return n.Content[i+1].Value == "true"
		}
	}
	return false
}

// stripMark returns the item without the mark.
func stripMark(n *yaml.Node, mark string, m *merger) *yaml.Node {
	if !takeMark(n, mark) {
		return n
	}
	out := *n
	out.Content = nil
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value != mark {
			out.Content = append(out.Content, n.Content[i], n.Content[i+1])
		}
	}
	m.tree.files[&out] = m.overlay.File
	return &out
}

// without returns the key and value pairs whose key positions aren't listed.
func without(content []*yaml.Node, removed map[int]bool) []*yaml.Node {
	var out []*yaml.Node
	for i := 0; i+1 < len(content); i += 2 {
		if !removed[i] {
			out = append(out, content[i], content[i+1])
		}
	}
	return out
}
