package main

import (
	"context"
	"fmt"
	"io"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"savoryroad.dev/appender"
	"savoryroad.dev/loader"
	"savoryroad.dev/publisher"
)

// maxRebases bounds how often an edit of one field is made again on a newer
// revision.
const maxRebases = 5

// logFlags say where the log is.
type logFlags struct {
	Log     loader.Address `required:"" env:"SAVORYROAD_LOG" help:"URL of the log service."`
	Timeout time.Duration  `default:"30s" help:"Time limit for the whole command."`
}

// load reads the published configuration.
func (f logFlags) load(ctx context.Context) (appender.Log, publisher.Reader, error) {
	log := appender.NewHTTP(string(f.Log))
	r, _, err := publisher.Load(ctx, log)
	return log, r, err
}

// changeFlags describe a change for people.
type changeFlags struct {
	ChangeID string `help:"Id of the change; give the id of an earlier try to repeat it safely."`
	Author   string `help:"Who makes the change; the current user if left out."`
	Note     string `help:"Why the change is made."`
}

// describe fills in who and why.
func (f changeFlags) describe(c publisher.Change) publisher.Change {
	c.ID = publisher.ChangeID(f.ChangeID)
	if c.ID == "" {
		c.ID = publisher.ChangeID(uuid.NewString())
	}
	c.Author = f.Author
	if u, err := user.Current(); err == nil && c.Author == "" {
		c.Author = u.Username
	}
	c.Note = f.Note
	return c
}

// conflictError says that another change was accepted first.
type conflictError struct{ reject publisher.Reject }

// Error names the winner.
func (e conflictError) Error() string {
	w := e.reject.Winner
	if w.ID == "" {
		return fmt.Sprintf("not published: the change expected revision %d, which is not the newest", e.reject.Expected)
	}
	return fmt.Sprintf("not published: revision %d was made first, by %s at %s (change %s: %q); fetch it and make your change on it",
		w.Revision, w.Author, w.Time.UTC().Format(time.RFC3339), w.ID, w.Note)
}

// unknownOutcomeError says that nobody knows yet whether the change counts.
type unknownOutcomeError struct {
	id    publisher.ChangeID
	cause error
}

// Error says how to find out.
func (e unknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome not known (%v); repeat the command with --change-id %s, which is safe", e.cause, e.id)
}

// publishCmd publishes files.
type publishCmd struct {
	logFlags
	changeFlags
	fileFlags
	Expected *uint64 `help:"Revision that the files were made on, as fetch and history print it; needed once there is one."`
}

// Run checks the files together with what is published, and publishes.
func (c *publishCmd) Run(ctx context.Context, p printer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	docs, err := c.read()
	if err != nil {
		return err
	}
	log, r, err := c.load(ctx)
	if err != nil {
		return err
	}
	if a, ok := r.State.Find(publisher.ChangeID(c.ChangeID)); ok {
		return printAccepted(p, a)
	}
	if err := c.checkExpected(r.State); err != nil {
		return err
	}
	if err := docs.withPublished(r.State).check(); err != nil {
		return err
	}
	change, err := docs.changeFrom(r.State)
	if err != nil {
		return err
	}
	if change.Empty() {
		return p.printLine(r.State.Recent, "nothing differs from revision %d", r.State.Revision)
	}
	return settle(p, change, publisher.Publish(ctx, log, r, c.describe(change)))
}

// checkExpected refuses files that were made on an older revision, since they
// would take back what was accepted meanwhile.
func (c *publishCmd) checkExpected(s publisher.State) error {
	if c.Expected == nil {
		if s.Revision == 0 {
			return nil
		}
		return errors.Newf("state the revision that the files were made on with --expected; the newest is %d", s.Revision)
	}
	expected := publisher.Revision(*c.Expected)
	if expected == s.Revision {
		return nil
	}
	return conflictError{s.Lose(publisher.ChangeID(c.ChangeID), expected)}
}

// settle turns a result into output or an error.
func settle(p printer, c publisher.Change, res publisher.Result) error {
	switch res := res.(type) {
	case publisher.Published:
		return printAccepted(p, res.Accepted)
	case publisher.Lost:
		return conflictError{res.Reject}
	case publisher.NotPublished:
		return errors.Wrap(res.Reason, "not published, nothing changed")
	case publisher.Uncertain:
		return unknownOutcomeError{id: c.ID, cause: res.Cause}
	}
	return nil
}

func printAccepted(p printer, a publisher.Accepted) error {
	return p.printLine(a, "published as revision %d (change %s, offset %d)", a.Revision, a.ID, a.Offset)
}

// publishBasePatch publishes a change of one field, made again on a newer revision when
// another change comes first.
func publishBasePatch(ctx context.Context, p printer, lf logFlags, cf changeFlags, patch []byte) error {
	ctx, cancel := context.WithTimeout(ctx, lf.Timeout)
	defer cancel()
	var res publisher.Result
	var change publisher.Change
	for range maxRebases {
		log, r, err := lf.load(ctx)
		if err != nil {
			return err
		}
		change = cf.describe(publisher.Change{Expected: r.State.Revision, Base: patch})
		if err := checkChange(r.State, change); err != nil {
			return err
		}
		res = publisher.Publish(ctx, log, r, change)
		if _, lost := res.(publisher.Lost); !lost {
			break
		}
	}
	return settle(p, change, res)
}

// checkChange returns what would be wrong after a change.
func checkChange(s publisher.State, c publisher.Change) error {
	next, err := s.Apply(c)
	if err != nil {
		return err
	}
	return documents{}.withPublished(next).check()
}

// fetchCmd prints a published document.
type fetchCmd struct {
	logFlags
	Site loader.SiteName `help:"Site whose overlay is wanted; the base if left out."`
}

// Run prints the document, after a comment with its revision.
func (c *fetchCmd) Run(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, r, err := c.load(ctx)
	if err != nil {
		return err
	}
	data := r.State.BaseJSON()
	if c.Site != "" {
		data = r.State.OverlayJSON(c.Site)
	}
	d, findings := loader.Parse("document in the log", data)
	if err := findings.Err(); err != nil {
		return err
	}
	text, err := d.YAML()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "# Revision %d\n%s", r.State.Revision, text)
	return nil
}
