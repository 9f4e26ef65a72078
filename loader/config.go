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
	// OrganisationName identifies an organisation whose callers present its keys.
	OrganisationName string
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
	// MaxHeaderBytes is the maximum size of the headers of a request, in bytes.
	MaxHeaderBytes int `default:"65536" min:"1024" max:"1048576"`
	// MaxBodyMiB is the maximum size of the body of a request, in MiB.
	MaxBodyMiB int `default:"4096" min:"1" max:"1048576"`
	// DataCentres holds the data centres that targets may be in.
	DataCentres map[DataCentreName]DataCentre `required:"true"`
	// Services holds the services by name. No two of their routes have the same
	// method, host and path prefix, even if the prefixes differ in a trailing slash.
	Services map[ServiceName]Service `required:"true"`
}

// DataCentre is the configuration of a data centre.
type DataCentre struct {
	// State is Out while the targets in the data centre must receive no new calls.
	State DataCentreState `default:"In"`
}

// Service is a group of targets that serve the same routes.
type Service struct {
	// Hosts are the host names that the service matches; none means any.
	Hosts []string
	// Policy is the load balancing policy.
	Policy Policy `default:"Permits"`
	// Routes holds the routes by name; at least one.
	Routes map[RouteName]Route `required:"true"`
	// Defaults holds the settings of the targets, some of which a target may
	// override.
	Defaults TargetDefaults
	// Targets holds the backend servers by name.
	Targets map[TargetName]Target `required:"true"`
	// Queue is the maximum number of calls that wait at one entry for a target
	// of this service.
	Queue int `default:"512" min:"0" max:"100000"`
	// Retry limits how often calls are sent again.
	Retry Retry
	// NotRunStatuses are the HTTP statuses with which a backend server states
	// that it did not run the call.
	NotRunStatuses []int `min:"400" max:"599"`
}

// TargetDefaults holds the settings of a service's targets. A target may
// override Slots, Connections and ColdLimit.
type TargetDefaults struct {
	// Slots is the number of calls that a target can run at the same time.
	Slots int `default:"6" min:"1" max:"100000"`
	// Connections is the maximum number of connections that a target accepts,
	// from all entries together. Each entry may open an equal share, at least one.
	Connections int `default:"250" min:"1" max:"100000"`
	// ColdLimit is the maximum number of outstanding calls at a target in cold
	// start, from all entries together. It is at most Slots.
	ColdLimit int `default:"1" min:"1" max:"100000"`
	// ColdAnswers is the number of consecutive good answers that end a cold start;
	// the limit then doubles in steps. An answer in which the target reports that
	// it is cold isn't a good one, and starts the count again.
	ColdAnswers int `default:"20" min:"1" max:"1000000"`
	// ConnectTimeout is the timeout for opening a connection to a target.
	ConnectTimeout time.Duration `default:"500ms" min:"1ms" max:"30s"`
	// IdleTimeout is the time after which an idle connection to a target is
	// closed. It must be shorter than the backend server's own idle timeout.
	IdleTimeout time.Duration `default:"30s" min:"100ms" max:"1h"`
}

// Target is the configuration of a backend server.
type Target struct {
	// Address is the IP address and port.
	Address netip.AddrPort `required:"true"`
	// DataCentre is one of the configuration's data centres.
	DataCentre DataCentreName `required:"true"`
	// State is Draining while the target must receive no new calls.
	State TargetState `default:"Active"`
	// Slots overrides the Slots of Defaults; left out, the default applies.
	Slots int `min:"1" max:"100000"`
	// Connections overrides the Connections of Defaults; left out, the default
	// applies.
	Connections int `min:"1" max:"100000"`
	// ColdLimit overrides the ColdLimit of Defaults; left out, the default applies.
	ColdLimit int `min:"1" max:"100000"`
}

// Route selects calls by path and method, and sets their class and time limits.
type Route struct {
	// PathPrefix is the prefix of the paths that the route matches, in whole path
	// segments; it begins with "/". The longest matching prefix is used.
	PathPrefix string `required:"true"`
	// Methods are the HTTP methods that the route matches; none means any.
	Methods []string
	// Class states whether calls may be repeated, and whether they may wait long
	// for a target.
	Class Class `required:"true"`
	// Deadline limits the time from the arrival of a call to the last byte of its
	// answer.
	Deadline time.Duration `default:"10s" min:"1ms" max:"24h"`
	// MaxWait is the maximum time that a call waits for a target, within its
	// deadline.
	MaxWait time.Duration `default:"1s" min:"0s" max:"24h"`
}

// Retry limits how often calls are sent again.
type Retry struct {
	// Attempts is the maximum number of sends of a call, including the first.
	Attempts int `default:"2" min:"1" max:"10"`
	// BudgetPercent is the number of repeats that 100 first sends add to the retry
	// budget, which starts full and holds a limited number; 0 disables repeats.
	BudgetPercent int `default:"10" min:"0" max:"100"`
}
