package loader

// Tuning holds the settings of an entry that come from operators rather than
// from the platform.
type Tuning struct {
	// Operator is the port of the endpoint for metrics and state dumps, on the
	// entry's own address; 0 disables it.
	Operator int `default:"9100" min:"0" max:"65535"`
	// LogServedOneIn samples the log lines of served requests: one in this many
	// is logged. Requests that fail or are refused are always logged.
	LogServedOneIn int `default:"50" min:"1" max:"1000000"`
	// Pipelining starts the lookups and downloads that a caller sends on a connection
	// before its earlier requests have been answered; otherwise they wait for those.
	Pipelining bool `default:"true"`
	// Connections is the maximum number of connections of callers; 0 derives it from the
	// platform's limit on descriptors, of which they may take two thirds.
	Connections int `default:"0" min:"0" max:"1000000"`
	// CallerMemoryPercent is the part of the process's memory that connections of callers
	// and requests may take, without their bodies.
	CallerMemoryPercent int `default:"40" min:"5" max:"50"`
	// Levels makes entries agree on what is refused while the targets of a service have
	// too little room. Without it, each request looks or waits for a target.
	Levels bool `default:"true"`
	// Debug enables log lines of level debug, among them one for each read of the
	// store.
	Debug bool `default:"false"`
}

// ParseTuning parses the settings that come from operators. The file name is
// only used in findings.
func ParseTuning(file string, data []byte) (Tuning, Findings) {
	var tuning Tuning
	d, findings := Parse(file, data)
	t, _ := merge(d, Document{})
	findings = append(findings, decode(t, &tuning)...)
	return tuning, findings.sorted()
}
