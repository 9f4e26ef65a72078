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

// maxPublishAttempts limits the attempts to publish a patch, each against the
// newest revision at its time.
const maxPublishAttempts = 5

// logFlags are the flags for requests to the log service.
type logFlags struct {
	Log     loader.Address `required:"" env:"SAVORYROAD_LOG" help:"URL of the log service."`
	Timeout time.Duration  `default:"30s" help:"Time limit for the whole command."`
}

// load reads the published configuration. It also returns the log service's
// client.
func (f logFlags) load(ctx context.Context) (appender.Log, publisher.Reader, error) {
	log := appender.NewHTTP(string(f.Log))
	r, _, err := publisher.Load(ctx, log)
	return log, r, err
}

// changeFlags are the flags that identify and describe a change.
type changeFlags struct {
	ChangeID string `help:"Id of the change; give the id of an earlier try to repeat it safely."`
	Author   string `help:"Who makes the change; the current user if left out."`
	Note     string `help:"Why the change is made."`
}

// describe returns c with the ID, author and note of the flags. The ID defaults
// to a random UUID, the author to the current user.
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

// Error describes the accepted change, if the published state still retains it.
func (e conflictError) Error() string {
	winner := e.reject.Winner
	if winner.ID == "" {
		return fmt.Sprintf("not published: expected revision %d is not the newest", e.reject.Expected)
	}
	return fmt.Sprintf("not published: revision %d was published first, by %s at %s (change %s: %q); fetch it and apply your change to it",
		winner.Revision, winner.Author, winner.Time.UTC().Format(time.RFC3339), winner.ID, winner.Note)
}

// unknownOutcomeError says that the change may have been accepted, or may yet
// be.
type unknownOutcomeError struct {
	id    publisher.ChangeID
	cause error
}

// Error includes the ID with which the change can be published again safely.
func (e unknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown (%v); it is safe to repeat the command with --change-id %s", e.cause, e.id)
}

// publishCmd publishes the contents of configuration files.
type publishCmd struct {
	logFlags
	changeFlags
	fileFlags
	Expected *uint64 `help:"Revision that the files were made on, as fetch and history print it; needed once there is one."`
}

// Run publishes the differences between the files and the published documents,
// unless the resulting documents have findings. If the change ID was accepted
// before, Run prints that change and publishes nothing.
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
		return p.printLine(r.State.Recent, "no differences from revision %d", r.State.Revision)
	}
	change = c.describe(change)
	return printResult(p, change, publisher.Publish(ctx, log, r, change))
}

// checkExpected returns an error if the files are not based on the newest
// revision, since publishing them would revert the changes accepted since then.
func (c *publishCmd) checkExpected(s publisher.State) error {
	if c.Expected == nil {
		if s.Revision == 0 {
			return nil
		}
		return errors.Newf("--expected is required: give the revision that the files are based on; the newest is %d", s.Revision)
	}
	expected := publisher.Revision(*c.Expected)
	if expected == s.Revision {
		return nil
	}
	return conflictError{s.Lose(publisher.ChangeID(c.ChangeID), expected)}
}

// printResult prints an accepted change, and returns any other result as an
// error.
func printResult(p printer, c publisher.Change, res publisher.Result) error {
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

// publishBasePatch publishes a merge patch of the base that sets one field. On
// a conflict it retries against the newest revision.
func publishBasePatch(ctx context.Context, p printer, lf logFlags, cf changeFlags, patch []byte) error {
	ctx, cancel := context.WithTimeout(ctx, lf.Timeout)
	defer cancel()
	var res publisher.Result
	var change publisher.Change
	for range maxPublishAttempts {
		log, r, err := lf.load(ctx)
		if err != nil {
			return err
		}
		change = cf.describe(publisher.Change{Expected: r.State.Revision, Base: patch})
		if err := checkChange(r.State, change); err != nil {
			return err
		}
		res = publisher.Publish(ctx, log, r, change)
		if _, conflict := res.(publisher.Lost); !conflict {
			break
		}
	}
	return printResult(p, change, res)
}

// checkChange returns the findings of the published documents with c applied,
// as an error.
func checkChange(s publisher.State, c publisher.Change) error {
	next, err := s.Apply(c)
	if err != nil {
		return err
	}
	return documents{}.withPublished(next).check()
}

// fetchCmd prints the published base or the overlay of a site.
type fetchCmd struct {
	logFlags
	Site loader.SiteName `help:"Site whose overlay is wanted; the base if left out."`
}

// Run prints the document as YAML, after a comment with the published revision.
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
	d, findings := loader.Parse("published document", data)
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
