package gateway

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"savoryroad.dev/platform"
)

// settingsInterval is the time between two looks at the settings file, which
// the platform may also change without a signal.
const settingsInterval = 1 * time.Second

// watchSettings reads the settings file again at each SIGHUP, and whenever the
// file has changed.
func (g *Gateway) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	changed := modified(g.settingsFile)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			latest := modified(g.settingsFile)
			if latest.Equal(changed) {
				continue
			}
			changed = latest
		}
		g.reload()
	}
}

// modified returns when a file was last written; zero if that can't be told.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes over the bounds of the settings file. What else the file says
// belongs to the process's start.
func (g *Gateway) reload() {
	s, err := platform.ReadSettings(g.settingsFile)
	if err != nil {
		g.log.Error().Err(err).Msg("settings can't be read; the last good ones stay in force")
		return
	}
	was := *g.bounds.Swap(&s.Bounds)
	g.log.Info().Bool("BoundsChanged", was != s.Bounds).Msg("settings reloaded")
	if was != s.Bounds {
		g.dispatch(boundsChangedMsg{})
	}
}
