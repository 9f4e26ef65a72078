package warmer

import "savoryroad.dev/loader"

// News is a level on its way from a target's home to the other entries or,
// when Seen is set, word from an entry that saw the target fail to its home.
type News struct {
	Service loader.ServiceName
	Target  loader.TargetName
	Level   Level
	// Seen is set when the sender saw the target fail.
	Seen bool
}

// LimitName is the name by which the fleet shares a target's limits.
func LimitName(service loader.ServiceName, target loader.TargetName) string {
	return string(service) + "/" + string(target)
}
