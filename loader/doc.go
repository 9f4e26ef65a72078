// Package loader reads the operators' configuration and the settings of a
// process, and reports everything that is wrong with them at once.
//
// A configuration is one base document and, for each site, an overlay that
// states only what differs there:
//
//	base, findings := loader.Parse("base.yaml", data)
//	cfg, findings := loader.Render(base, overlay)
//
// Documents are YAML with Pascal case names. Nothing here does I/O, and no
// input makes it panic.
package loader
