package loader

import (
	"net/netip"
	"time"
)

// Names that operators choose.
type (
	// ServiceName identifies a service.
	ServiceName string
	// TargetName identifies a target within its service.
	TargetName string
	// RouteName identifies a route within its service.
	RouteName string
	// DataCentreName identifies a data centre.
	DataCentreName string
	// SiteName identifies a site and its overlay.
	SiteName string
)

// Config is the configuration of one site: the base merged with the site's
// overlay.
//
// The comments of the fields in this file and in settings.go are copied to
// docs/CONFIGURATION.md. TestReferenceIsUpToDate checks the copy and, with
// -update, renews it.
type Config struct {
	// Entries is the number of entry VMs that share each target's limits.
	Entries int `default:"18" min:"1" max:"4096"`
	// Retention is how long the log service keeps a record.
	Retention time.Duration `default:"24h" min:"10s" max:"720h"`
	// MaxHeaderBytes bounds a caller's request headers, in bytes.
	MaxHeaderBytes int `default:"65536" min:"1024" max:"1048576"`
	// MaxBodyMiB bounds a caller's request body, in MiB.
	MaxBodyMiB int `default:"4096" min:"1" max:"1048576"`
	// DataCentres holds every data centre that a target may stand in.
	DataCentres map[DataCentreName]DataCentre `required:"true"`
	// Services holds the services by name. No two of their routes match the
	// same host and path prefix.
	Services map[ServiceName]Service `required:"true"`
}

// DataCentre is the configuration of a data centre.
type DataCentre struct {
	// State is Out while operators want no new work there.
	State DataCentreState `default:"In"`
}

// Service is a group of targets that serve the same routes.
type Service struct {
	// Hosts are the Host names the service answers to; none means any.
	Hosts []string
	// Policy is the way a target is chosen.
	Policy Policy `default:"Permits"`
	// Routes holds the routes by name; at least one.
	Routes map[RouteName]Route `required:"true"`
	// Defaults stand for what a target leaves out.
	Defaults TargetDefaults
	// Targets holds the backend servers by name.
	Targets map[TargetName]Target `required:"true"`
	// Queue bounds how many calls wait at one entry for a target of this
	// service.
	Queue int `default:"512" min:"0" max:"100000"`
	// Retry bounds the repetition of calls.
	Retry Retry
	// NotRunStatuses are the HTTP statuses by which a backend server states
	// that it did not run the call.
	NotRunStatuses []int `min:"400" max:"599"`
}

// TargetDefaults holds the settings of a service's targets. A target may
// override Slots, Connections and ColdLimit.
type TargetDefaults struct {
	// Slots is the number of calls a target runs at the same time.
	Slots int `default:"6" min:"1" max:"100000"`
	// Connections is the number of connections a target accepts, from all
	// entries together.
	Connections int `default:"250" min:"1" max:"100000"`
	// ColdLimit is the number of outstanding calls a target bears in cold
	// start, from all entries together. It is at most Slots.
	ColdLimit int `default:"1" min:"1" max:"100000"`
	// ColdAnswers is the number of good answers in a row that end a cold
	// start. Answers on which the target says that it is cold don't count.
	ColdAnswers int `default:"20" min:"1" max:"1000000"`
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration `default:"500ms" min:"1ms" max:"30s"`
	// IdleTimeout closes a connection that carried nothing for so long. It
	// is shorter than the backend server's own.
	IdleTimeout time.Duration `default:"30s" min:"100ms" max:"1h"`
}

// Target is the configuration of a backend server.
type Target struct {
	// Address is the IP address and port.
	Address netip.AddrPort `required:"true"`
	// DataCentre is one of the configuration's data centres.
	DataCentre DataCentreName `required:"true"`
	// State is Draining while operators want no new work there.
	State TargetState `default:"Active"`
	// Slots overrides the service's default; 0 takes it.
	Slots int `min:"1" max:"100000"`
	// Connections overrides the service's default; 0 takes it.
	Connections int `min:"1" max:"100000"`
	// ColdLimit overrides the service's default; 0 takes it.
	ColdLimit int `min:"1" max:"100000"`
}

// Route selects calls by path and method, and sets their class and time limits.
type Route struct {
	// PathPrefix starts the path of every call; it begins with "/". The
	// longest matching prefix wins, whole path segments only.
	PathPrefix string `required:"true"`
	// Methods are the methods accepted; none means any.
	Methods []string
	// Class says what its calls may bear.
	Class Class `required:"true"`
	// Deadline bounds a call from its arrival to the last byte of the answer.
	Deadline time.Duration `default:"10s" min:"1ms" max:"24h"`
	// MaxWait bounds the part of the deadline spent waiting for a target.
	MaxWait time.Duration `default:"1s" min:"0s" max:"24h"`
}

// Retry limits how often calls are sent again.
type Retry struct {
	// Attempts is the number of sends of one call, the first included.
	Attempts int `default:"2" min:"1" max:"10"`
	// BudgetPercent is the number of repeats for each 100 first sends.
	BudgetPercent int `default:"10" min:"0" max:"100"`
}
