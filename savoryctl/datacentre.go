package main

import (
	"context"
	"encoding/json"

	"savoryroad.dev/loader"
)

// drainCmd takes a data centre out of service.
type drainCmd struct {
	logFlags
	changeFlags
	DataCentre loader.DataCentreName `arg:"" help:"Name of the data centre."`
}

// Run publishes the edit.
func (c *drainCmd) Run(ctx context.Context, p printer) error {
	return setState(ctx, p, c.logFlags, c.changeFlags, c.DataCentre, loader.Out)
}

// restoreCmd brings a data centre back into service.
type restoreCmd struct {
	logFlags
	changeFlags
	DataCentre loader.DataCentreName `arg:"" help:"Name of the data centre."`
}

// Run publishes the edit.
func (c *restoreCmd) Run(ctx context.Context, p printer) error {
	return setState(ctx, p, c.logFlags, c.changeFlags, c.DataCentre, loader.In)
}

// setState publishes the state of one data centre. A data centre that the base
// lacks is refused, since the edit would otherwise make it.
func setState(ctx context.Context, p printer, lf logFlags, cf changeFlags, dc loader.DataCentreName, state loader.DataCentreState) error {
	if err := lf.knows(ctx, dc); err != nil {
		return err
	}
	if cf.Note == "" {
		cf.Note = "data centre " + string(dc) + " " + state.String()
	}
	patch, err := json.Marshal(map[string]any{
		"DataCentres": map[loader.DataCentreName]any{dc: map[string]string{"State": state.String()}},
	})
	if err != nil {
		return err
	}
	return edit(ctx, p, lf, cf, patch)
}
