package loader

import (
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Flags that an item of an overlay may have besides its fields.
const (
	addFlag    = "Add"
	removeFlag = "Remove"
)

// mergedTree is the result of merging an overlay into a base.
type mergedTree struct {
	root *yaml.Node
	// overlayFiles holds the file of each node that comes from the overlay. All
	// other nodes come from baseFile.
	overlayFiles map[*yaml.Node]string
	baseFile     string
}

// fileOf returns the name of the file that a node comes from.
func (t mergedTree) fileOf(n *yaml.Node) string {
	if f, ok := t.overlayFiles[n]; ok {
		return f
	}
	return t.baseFile
}

// merge merges the overlay into the base. Mappings are merged key by key; any
// other value of the overlay replaces that of the base. A named item that is
// not in the base needs the flag "Add: true". "Remove: true" removes an item.
func merge(base, overlay Document) (mergedTree, Findings) {
	m := merger{
		overlay: overlay,
		tree:    mergedTree{overlayFiles: map[*yaml.Node]string{}, baseFile: base.File},
	}
	root := base.root
	if root == nil {
		root = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: 1, Column: 1}
	}
	if overlay.root != nil {
		root = m.mergeMapping(root, overlay.root, nil)
	}
	m.tree.root = root
	return m.tree, m.findings
}

type merger struct {
	overlay  Document
	tree     mergedTree
	findings Findings
}

// mergeMapping returns the merged mapping as a new node and changes neither base
// nor overlay. Nodes below it may be shared with them.
func (m *merger) mergeMapping(base, overlay *yaml.Node, path []string) *yaml.Node {
	out := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: base.Line, Column: base.Column}
	out.Content = append(out.Content, base.Content...)
	index := make(map[string]int, len(base.Content)/2)
	for i := 0; i+1 < len(out.Content); i += 2 {
		index[out.Content[i].Value] = i
	}
	removed := map[int]bool{}
	for i := 0; i+1 < len(overlay.Content); i += 2 {
		key, value := overlay.Content[i], overlay.Content[i+1]
		keyPath := append(slices.Clone(path), key.Value)
		pos, inBase := index[key.Value]
		switch {
		case inBase && isFlagSet(value, removeFlag):
			removed[pos] = true
		case inBase:
			out.Content[pos+1] = m.mergeValue(out.Content[pos+1], value, keyPath)
		case isFlagSet(value, removeFlag):
			m.addFinding(key, keyPath, "overlay removes what the base lacks", "a name of the base")
		case holdsNamedItems(path) && !isFlagSet(value, addFlag):
			m.addFinding(key, keyPath, "overlay names what the base lacks", "a name of the base, or Add: true")
		default:
			m.recordOverlayNodes(key)
			m.recordOverlayNodes(value)
			out.Content = append(out.Content, key, withoutFlag(value, addFlag, m))
		}
	}
	if len(removed) > 0 {
		out.Content = withoutPairs(out.Content, removed)
	}
	return out
}

func (m *merger) mergeValue(base, overlay *yaml.Node, path []string) *yaml.Node {
	if base.Kind == yaml.MappingNode && overlay.Kind == yaml.MappingNode {
		return m.mergeMapping(base, overlay, path)
	}
	m.recordOverlayNodes(overlay)
	return overlay
}

// recordOverlayNodes records the overlay as the source of a node and of all
// nodes below it.
func (m *merger) recordOverlayNodes(n *yaml.Node) {
	m.tree.overlayFiles[n] = m.overlay.File
	for _, c := range n.Content {
		m.recordOverlayNodes(c)
	}
}

func (m *merger) addFinding(n *yaml.Node, path []string, problem, want string) {
	dottedPath := strings.Join(path, ".")
	m.findings = append(m.findings, m.overlay.findingAt(n, dottedPath, problem, want)...)
}

// holdsNamedItems reports whether the mapping at path holds items that operators
// name, rather than fields of a struct. These are the maps of Config and Service.
func holdsNamedItems(path []string) bool {
	switch len(path) {
	case 1:
		return path[0] == "DataCentres" || path[0] == "Services"
	case 3:
		return path[0] == "Services" && (path[2] == "Routes" || path[2] == "Targets")
	}
	return false
}

// isFlagSet reports whether an item has the flag with the value true.
func isFlagSet(n *yaml.Node, flag string) bool {
	if n.Kind != yaml.MappingNode {
		return false
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == flag {
			return n.Content[i+1].Value == "true"
		}
	}
	return false
}

// withoutFlag returns the item without the flag, if it is set, and otherwise the
// item itself.
func withoutFlag(n *yaml.Node, flag string, m *merger) *yaml.Node {
	if !isFlagSet(n, flag) {
		return n
	}
	out := *n
	out.Content = nil
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value != flag {
			out.Content = append(out.Content, n.Content[i], n.Content[i+1])
		}
	}
	m.tree.overlayFiles[&out] = m.overlay.File
	return &out
}

// withoutPairs returns content, in which keys and values alternate, without the
// pairs whose key is at a position in removed.
func withoutPairs(content []*yaml.Node, removed map[int]bool) []*yaml.Node {
	var out []*yaml.Node
	for i := 0; i+1 < len(content); i += 2 {
		if !removed[i] {
			out = append(out, content[i], content[i+1])
		}
	}
	return out
}
