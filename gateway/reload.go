package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"savoryroad.dev/platform"
)

// settingsPollInterval is the time between two checks of the settings file's
// modification time. The platform may change the file without sending SIGHUP.
const settingsPollInterval = 1 * time.Second

// watchSettings reloads the settings file on SIGHUP and after each change.
func (g *Gateway) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(g.settingsFile)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			modified := modTime(g.settingsFile)
			if modified.Equal(lastModified) {
				continue
			}
			lastModified = modified
		}
		g.reloadBounds()
	}
}

// modTime returns the modification time of a file, or the zero time if it can't
// be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadBounds applies the bounds of the settings file. Its other settings take
// effect only when the process starts.
func (g *Gateway) reloadBounds() {
	s, err := platform.ReadSettings(g.settingsFile)
	if err != nil {
		g.log.Error().Err(err).Msg("can't read settings; keeping the last valid ones")
		return
	}
	old := *g.bounds.Swap(&s.Bounds)
	g.log.Info().Bool("BoundsChanged", old != s.Bounds).Msg("settings reloaded")
	if old != s.Bounds {
		g.dispatch(boundsChangedMsg{})
	}
}
