package warmer

import "savoryroad.dev/loader"

// News is a message about a target's cold start. The target's home sends its
// level to the other entries; with Seen set, another entry reports to the home
// that the target failed.
type News struct {
	Service loader.ServiceName
	Target  loader.TargetName
	Level   Level
	// Seen is set when the sender isn't the home and saw the target fail.
	Seen bool
}

// LimitName returns the name under which the entries divide a target's limit
// among themselves, for registrar.ShareOf and registrar.Part.
func LimitName(service loader.ServiceName, target loader.TargetName) string {
	return string(service) + "/" + string(target)
}
