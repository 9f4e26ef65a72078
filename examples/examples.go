// Package examples holds the configurations of two users at their full size.
package examples

import "embed"

// Files contains a folder for each user with a base.yaml, the overlays of the
// sites that differ, and the settings of one entry.
//
//go:embed sunkissed/*.yaml swanbrook/*.yaml
var Files embed.FS
