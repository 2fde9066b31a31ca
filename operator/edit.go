package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits on the attempts of an edit whose outcome is not known yet.
const (
	editAttempts  = 20
	retryInterval = 200 * time.Millisecond
)

// OutcomeUnknownError reports an edit that may or may not have been accepted. Applying
// the same lists again with the same base version and edit id resolves it.
type OutcomeUnknownError struct {
	Edit  string // id of the edit
	Cause error  // error of the last attempt
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown: %v", e.Edit, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Editor changes the two lists in the platform's store. Each edit is a
// compare-and-swap against a base version.
type Editor struct {
	Registry ramp.Registry
	Clock    ramp.Clock
}

// Apply stores the lists as the version after base and returns the accepted
// version. The edit's id must be unique. If another edit was accepted first, it
// returns a [*ramp.ConflictError] and changes nothing. If the reply to the write
// is lost, it reads the store until it knows whether the edit was accepted, and
// returns an [*OutcomeUnknownError] if it cannot find out.
func (e Editor) Apply(
	ctx context.Context, lists ramp.Lists, base uint64, edit, author string,
) (ramp.Lists, error) {
	if err := lists.Check(); err != nil {
		return ramp.Lists{}, err
	}
	next := lists.WithVersion(base+1, edit, author)
	var err error
	for range editAttempts {
		var accepted bool
		accepted, err = e.attempt(ctx, next, base)
		if accepted {
			return next, nil
		}
		var conflict *ramp.ConflictError
		if errors.As(err, &conflict) {
			return ramp.Lists{}, err
		}
		if waitErr := ramp.Sleep(ctx, e.Clock, retryInterval); waitErr != nil {
			break
		}
	}
	return ramp.Lists{}, &OutcomeUnknownError{Edit: edit, Cause: err}
}

// Undo stores the lists of an earlier version as the version after base. Its
// errors are those of Version and Apply.
func (e Editor) Undo(ctx context.Context, version, base uint64, edit, author string) (ramp.Lists, error) {
	archived, err := e.Version(ctx, version)
	if err != nil {
		return ramp.Lists{}, err
	}
	return e.Apply(ctx, archived, base, edit, author)
}

// Version returns the lists of a version, which is in force or archived. It
// returns a [*ramp.NotFoundError] if the version is neither.
func (e Editor) Version(ctx context.Context, version uint64) (ramp.Lists, error) {
	current, _, err := e.Registry.Lists(ctx)
	if err != nil || current.Version == version {
		return current, err
	}
	return e.Registry.ArchivedLists(ctx, version)
}

// History returns up to count versions, newest first. It stops at a version that
// is no longer archived.
func (e Editor) History(ctx context.Context, count int) ([]ramp.Lists, error) {
	current, _, err := e.Registry.Lists(ctx)
	if err != nil {
		return nil, err
	}
	var versions []ramp.Lists
	for next := current; next.Version > 0 && len(versions) < count; {
		versions = append(versions, next)
		if next.Version == 1 {
			break
		}
		next, err = e.Registry.ArchivedLists(ctx, next.Version-1)
		var missing *ramp.NotFoundError
		if errors.As(err, &missing) {
			break
		}
		if err != nil {
			return versions, err
		}
	}
	return versions, nil
}

// attempt makes one attempt to store next and reports whether the edit is
// accepted. It first checks whether an earlier attempt was accepted.
func (e Editor) attempt(ctx context.Context, next ramp.Lists, base uint64) (bool, error) {
	current, revision, err := e.Registry.Lists(ctx)
	if err != nil {
		return false, err
	}
	if current.Version > base {
		return e.wasAccepted(ctx, next, current)
	}
	if current.Version < base {
		return false, &ramp.NotFoundError{Key: fmt.Sprintf("version %d", base)} // base does not exist, or the read was stale
	}
	if current.Version > 0 {
		if err := e.Registry.ArchiveLists(ctx, current); err != nil {
			return false, err
		}
	}
	err = e.Registry.SwapLists(ctx, next, revision)
	var conflict *ramp.ConflictError
	if errors.As(err, &conflict) {
		return false, &ramp.StoreError{Call: "swap", Cause: err} // the next attempt finds out which edit was accepted
	}
	return err == nil, err
}

// wasAccepted reports whether the version after base was made by this edit. It
// returns a [*ramp.ConflictError] if another edit made it. When that version is
// no longer in force, it is in the archive, since every editor archives the
// version that it replaces.
func (e Editor) wasAccepted(ctx context.Context, next, current ramp.Lists) (bool, error) {
	found := current
	if current.Version > next.Version {
		archived, err := e.Registry.ArchivedLists(ctx, next.Version)
		if err != nil {
			return false, err
		}
		found = archived
	}
	if found.Edit == next.Edit {
		return true, nil
	}
	return false, &ramp.ConflictError{Key: "lists", Revision: current.Version}
}
