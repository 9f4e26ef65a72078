package main

import (
	"io"
	"maps"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// fileFlags are the flags that name configuration files.
type fileFlags struct {
	Base    string            `type:"existingfile" help:"Base file (YAML)."`
	Overlay map[string]string `help:"Overlay of a site, as SITE=FILE; may be given again." placeholder:"SITE=FILE"`
}

// documents are the parsed base and overlays.
type documents struct {
	// base is nil when none was given.
	base     *loader.Document
	overlays map[loader.SiteName]loader.Document
	// findings are those of parsing, without those of rendering.
	findings loader.Findings
	// unparsable is set if a document has findings but no content; check then
	// skips rendering.
	unparsable bool
}

// addFindings adds the findings of parsing doc.
func (d *documents) addFindings(doc loader.Document, findings loader.Findings) {
	d.findings = append(d.findings, findings...)
	if len(findings) > 0 && doc.Empty() {
		d.unparsable = true
	}
}

// read parses the files. It returns an error if a file can't be read; problems
// in its contents become findings.
func (f fileFlags) read() (documents, error) {
	docs := documents{overlays: map[loader.SiteName]loader.Document{}}
	if f.Base != "" {
		d, findings, err := readDocument(f.Base)
		if err != nil {
			return docs, err
		}
		docs.addFindings(d, findings)
		docs.base = &d
	}
	for _, site := range slices.Sorted(maps.Keys(f.Overlay)) {
		d, findings, err := readDocument(f.Overlay[site])
		if err != nil {
			return docs, err
		}
		docs.addFindings(d, findings)
		docs.overlays[loader.SiteName(site)] = d
	}
	return docs, nil
}

func readDocument(file string) (loader.Document, loader.Findings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Document{}, nil, errors.Wrap(err, "read configuration file")
	}
	d, findings := loader.Parse(file, data)
	return d, findings, nil
}

// withPublished returns d, completed with the published base and overlays for
// which d has no document.
func (d documents) withPublished(s publisher.State) documents {
	if d.base == nil {
		base, findings := loader.Parse("base (published)", s.BaseJSON())
		d.addFindings(base, findings)
		d.base = &base
	}
	overlays := map[loader.SiteName]loader.Document{}
	maps.Copy(overlays, d.overlays)
	d.overlays = overlays
	for _, site := range s.Sites() {
		if _, ok := d.overlays[site]; ok {
			continue
		}
		overlay, findings := loader.Parse("overlay "+string(site)+" (published)", s.OverlayJSON(site))
		d.addFindings(overlay, findings)
		d.overlays[site] = overlay
	}
	return d
}

// check renders the base alone and with each overlay, and returns the findings
// of parsing and rendering as an error. Findings that recur for several
// overlays are listed once.
func (d documents) check() error {
	findings := d.findings
	if d.unparsable {
		return findings.Err()
	}
	base := loader.Document{}
	if d.base != nil {
		base = *d.base
	}
	_, baseFindings := loader.Render(base, loader.Document{})
	findings = append(findings, baseFindings...)
	for _, site := range slices.Sorted(maps.Keys(d.overlays)) {
		_, siteFindings := loader.Render(base, d.overlays[site])
		for _, f := range siteFindings {
			if !slices.Contains(findings, f) {
				findings = append(findings, f)
			}
		}
	}
	return findings.Err()
}

// changeFrom returns the change that turns the published documents into d. It
// keeps those for which d has no document.
func (d documents) changeFrom(s publisher.State) (publisher.Change, error) {
	var base []byte
	var err error
	if d.base != nil {
		if base, err = d.base.JSON(); err != nil {
			return publisher.Change{}, err
		}
	}
	overlays := map[loader.SiteName][]byte{}
	for site, doc := range d.overlays {
		if overlays[site], err = doc.JSON(); err != nil {
			return publisher.Change{}, err
		}
	}
	return s.Diff(base, overlays)
}

// validateCmd checks configuration files without contacting the log service.
type validateCmd struct {
	fileFlags
}

// Run returns the findings as an error, or prints that there are none.
func (c *validateCmd) Run(p printer) error {
	docs, err := c.read()
	if err != nil {
		return err
	}
	if err := docs.check(); err != nil {
		return err
	}
	result := struct{ Usable bool }{true}
	return p.printLine(result, "configuration is valid, with %d overlays", len(docs.overlays))
}

// renderCmd prints a base merged with an overlay.
type renderCmd struct {
	fileFlags
}

// Run prints the base, merged with the overlay if one is given, as YAML. It
// doesn't validate the merged configuration.
func (c *renderCmd) Run(w io.Writer) error {
	docs, err := c.read()
	if err != nil {
		return err
	}
	if docs.base == nil || len(docs.overlays) > 1 {
		return errors.New("render requires --base and takes at most one --overlay")
	}
	if err := docs.findings.Err(); err != nil {
		return err
	}
	var overlay loader.Document
	for _, d := range docs.overlays {
		overlay = d
	}
	text, findings := loader.RenderYAML(*docs.base, overlay)
	if err := findings.Err(); err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}
