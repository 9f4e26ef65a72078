package loader

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// EntryName identifies an entry VM.
type EntryName string

// Address is the URL of a platform service, such as http://127.0.0.1:7000.
type Address string

// UnmarshalText parses an http or https URL. The text of its error is shown as
// Finding.Want, and so names what is accepted.
func (a *Address) UnmarshalText(text []byte) error {
	u, err := url.Parse(string(text))
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("a URL such as http://10.0.0.7:7000")
	}
	*a = Address(text)
	return nil
}

// Settings holds the settings of an entry, which it reads from its own file.
type Settings struct {
	// Name identifies the entry; it is unique among the entries.
	Name EntryName `required:"true"`
	// DataCentre is the data centre of the entry VM.
	DataCentre DataCentreName `required:"true"`
	// Site selects the overlay; left out, it is the name of the data centre.
	Site SiteName
	// Listen is the IP address and port for callers.
	Listen netip.AddrPort `required:"true"`
	// Operator is the IP address and port of the operator endpoint.
	Operator netip.AddrPort `required:"true"`
	// Log is the URL of the platform's log service.
	Log Address `required:"true"`
	// VMs is the URL of the platform's list of VMs; left out, the shares of
	// an entry that has gone stay unused until it returns.
	VMs Address
	// Peers configures the connections to the other entries; left out, the entry
	// has no peers.
	Peers Peers
	// TLS holds the certificate and key files for connections from callers; left
	// out, callers use plain HTTP.
	TLS TLS
	// DrainTimeout is the maximum wait for calls in flight at shutdown.
	DrainTimeout time.Duration `default:"10m" min:"1s" max:"24h"`
	// UnreadyDelay is how long the entry still accepts calls after it has reported
	// itself unready, so that the platform's balancer can notice.
	UnreadyDelay time.Duration `default:"2s" min:"0s" max:"5m"`
	// HeaderTimeout is the maximum time that a caller may take to send its headers.
	HeaderTimeout time.Duration `default:"10s" min:"100ms" max:"5m"`
	// StallTimeout is the maximum time without progress in a transfer from or to a
	// caller.
	StallTimeout time.Duration `default:"60s" min:"100ms" max:"1h"`
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration `default:"2m" min:"1s" max:"1h"`
}

// Peers configures the connections to the other entries.
type Peers struct {
	// Listen is the IP address and UDP port for peers.
	Listen netip.AddrPort
	// CertFile and KeyFile are the PEM files of this entry's certificate and
	// private key.
	CertFile, KeyFile string
	// CAFile is the PEM file of the certificate authorities trusted for peers.
	CAFile string
	// Seeds are the addresses of peers to contact besides those that the entry has
	// discovered, so that it finds peers even while the log can't be read.
	Seeds []netip.AddrPort
}

// Enabled reports whether the entry has peers.
func (p Peers) Enabled() bool { return p.Listen.IsValid() }

// TLS holds the names of the certificate and key files of an endpoint. Both are
// set, or neither is.
type TLS struct {
	// CertFile is the PEM file with the certificate chain.
	CertFile string
	// KeyFile is the PEM file with the private key.
	KeyFile string
}

// ParseSettings parses the settings of an entry and sets Site if it is left out.
// The file name is only used in findings.
func ParseSettings(file string, data []byte) (Settings, Findings) {
	var s Settings
	d, findings := Parse(file, data)
	t, _ := merge(d, Document{})
	findings = append(findings, decode(t, &s)...)
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		findings = append(findings, d.findingAt(t.root, "TLS", "one of the two key files is missing", "CertFile and KeyFile, or neither")...)
	}
	if s.Peers.Enabled() && (s.Peers.CertFile == "" || s.Peers.KeyFile == "" || s.Peers.CAFile == "") {
		findings = append(findings, d.findingAt(t.root, "Peers", "a key file is missing", "CertFile, KeyFile and CAFile")...)
	}
	if s.Listen == s.Operator && s.Listen.IsValid() && s.Listen.Port() != 0 {
		findings = append(findings, d.findingAt(t.root, "Operator", "same address as Listen", "an address of its own")...)
	}
	if s.Site == "" {
		s.Site = SiteName(s.DataCentre)
	}
	return s, findings.sorted()
}

// redacted replaces a value that a state dump must not show.
const redacted = "(redacted)"

// Redacted returns a copy of the settings without the names of private key files.
func (s Settings) Redacted() Settings {
	if s.TLS.KeyFile != "" {
		s.TLS.KeyFile = redacted
	}
	if s.Peers.KeyFile != "" {
		s.Peers.KeyFile = redacted
	}
	return s
}
