package loader

// Tuning is what operators set for an entry beside what the platform tells it.
type Tuning struct {
	// Operator is the port for metrics and state dumps, on the entry's own
	// address; 0 opens none.
	Operator int `default:"9100" min:"0" max:"65535"`
	// LogServedOneIn says of how many requests that are served one is logged.
	// Requests that fail or are refused are always logged.
	LogServedOneIn int `default:"50" min:"1" max:"1000000"`
	// Debug writes a line for every read of the store too.
	Debug bool `default:"false"`
}

// ParseTuning reads an entry's own settings.
func ParseTuning(file string, data []byte) (Tuning, Findings) {
	var tuning Tuning
	d, findings := Parse(file, data)
	t, _ := merge(d, Document{})
	findings = append(findings, decode(t, &tuning)...)
	return tuning, findings.sorted()
}
