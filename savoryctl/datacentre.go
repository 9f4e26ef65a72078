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

// Run publishes the data centre's new state, Out.
func (c *drainCmd) Run(ctx context.Context, p printer) error {
	return setDataCentreState(ctx, p, c.logFlags, c.changeFlags, c.DataCentre, loader.Out)
}

// restoreCmd brings a data centre back into service.
type restoreCmd struct {
	logFlags
	changeFlags
	DataCentre loader.DataCentreName `arg:"" help:"Name of the data centre."`
}

// Run publishes the data centre's new state, In.
func (c *restoreCmd) Run(ctx context.Context, p printer) error {
	return setDataCentreState(ctx, p, c.logFlags, c.changeFlags, c.DataCentre, loader.In)
}

// setDataCentreState publishes the state of a data centre. It returns an error
// if the published base lacks the data centre, since the merge patch would add
// it.
func setDataCentreState(ctx context.Context, p printer, lf logFlags, cf changeFlags, dc loader.DataCentreName, state loader.DataCentreState) error {
	if err := lf.checkDataCentre(ctx, dc); err != nil {
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
	return publishBasePatch(ctx, p, lf, cf, patch)
}
