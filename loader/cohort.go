package loader

// TargetVersion names the version of the software of a target; empty if the target names
// none.
type TargetVersion string

// Cohort divides the targets of a service while it is moved to a new version.
type Cohort int

//go:generate go tool stringer -type=Cohort -linecomment -output=cohort_string.go

// The cohorts.
const (
	// Whole is all targets that may get requests, while the service isn't divided.
	Whole Cohort = iota // whole
	// Baseline is the targets of the version in service.
	Baseline // baseline
	// Canary is the targets of the new version.
	Canary // canary
)
