// Package examples embeds the full-size configurations of two organisations.
package examples

import "embed"

// Files contains a folder for each organisation, with its base configuration
// base.yaml, the overlays of single data centres, and the settings entry.yaml of
// one entry.
//
//go:embed sunkissed/*.yaml swanbrook/*.yaml
var Files embed.FS
