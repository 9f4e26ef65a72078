// Package loader parses and checks the operators' configuration and the settings
// of an entry. It reports all problems at once instead of the first one only.
//
// A configuration consists of a base document and, for each site, an overlay
// with the differences from it:
//
//	base, findings := loader.Parse("base.yaml", data)
//	cfg, findings := loader.Render(base, overlay)
//
// Documents are YAML with names in Pascal case. The package does no I/O, and,
// except in MustParse, no input makes it panic.
package loader
