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

// files names the operator's files.
type files struct {
	Base    string            `type:"existingfile" help:"Base file (YAML)."`
	Overlay map[string]string `help:"Overlay of a site, as SITE=FILE; may be given again." placeholder:"SITE=FILE"`
}

// documents are the parsed files.
type documents struct {
	// base is nil when none was given.
	base     *loader.Document
	overlays map[loader.SiteName]loader.Document
	// findings are those of parsing alone.
	findings loader.Findings
	// unreadable is set when a document could not be parsed at all.
	unreadable bool
}

// note keeps what was wrong with a document on its own.
func (d *documents) note(doc loader.Document, findings loader.Findings) {
	d.findings = append(d.findings, findings...)
	if len(findings) > 0 && doc.Empty() {
		d.unreadable = true
	}
}

// read parses every file; an error is a file that can't be read.
func (f files) read() (documents, error) {
	docs := documents{overlays: map[loader.SiteName]loader.Document{}}
	if f.Base != "" {
		d, findings, err := readDocument(f.Base)
		if err != nil {
			return docs, err
		}
		docs.note(d, findings)
		docs.base = &d
	}
	for _, site := range slices.Sorted(maps.Keys(f.Overlay)) {
		d, findings, err := readDocument(f.Overlay[site])
		if err != nil {
			return docs, err
		}
		docs.note(d, findings)
		docs.overlays[loader.SiteName(site)] = d
	}
	return docs, nil
}

func readDocument(file string) (loader.Document, loader.Findings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Document{}, nil, errors.Wrap(err, "configuration")
	}
	d, findings := loader.Parse(file, data)
	return d, findings, nil
}

// withPublished adds the published documents that the operator did not give.
func (d documents) withPublished(s publisher.State) documents {
	if d.base == nil {
		base, findings := loader.Parse("base in the log", s.BaseJSON())
		d.note(base, findings)
		d.base = &base
	}
	d.overlays = maps.Clone(d.overlays)
	for _, site := range s.Sites() {
		if _, ok := d.overlays[site]; ok {
			continue
		}
		o, findings := loader.Parse("overlay "+string(site)+" in the log", s.OverlayJSON(site))
		d.note(o, findings)
		d.overlays[site] = o
	}
	return d
}

// check renders the base alone and with each overlay, and returns all that is
// wrong, each finding once.
func (d documents) check() error {
	all := d.findings
	if d.unreadable {
		return all.Err()
	}
	base := loader.Document{}
	if d.base != nil {
		base = *d.base
	}
	_, found := loader.Render(base, loader.Document{})
	all = append(all, found...)
	for _, site := range slices.Sorted(maps.Keys(d.overlays)) {
		_, findings := loader.Render(base, d.overlays[site])
		for _, f := range findings {
			if !slices.Contains(all, f) {
				all = append(all, f)
			}
		}
	}
	return all.Err()
}

// change returns the change from a published state to these documents.
func (d documents) change(s publisher.State) (publisher.Change, error) {
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

// validateCmd checks files without a log.
type validateCmd struct {
	files
}

// Run prints the findings, if there are any.
func (c *validateCmd) Run(p printer) error {
	docs, err := c.read()
	if err != nil {
		return err
	}
	if err := docs.check(); err != nil {
		return err
	}
	result := struct{ Usable bool }{true}
	return p.line(result, "configuration is usable, with %d overlays", len(docs.overlays))
}

// renderCmd prints a merged configuration.
type renderCmd struct {
	files
}

// Run prints the base with the one overlay given.
func (c *renderCmd) Run(w io.Writer) error {
	docs, err := c.read()
	if err != nil {
		return err
	}
	if docs.base == nil || len(docs.overlays) > 1 {
		return errors.New("render takes one --base and at most one --overlay")
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
