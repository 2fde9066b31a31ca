package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	ramp "sycamoreramp.example/sycamoreramp"
)

// Limits of an edit whose reply was lost.
const (
	editTries  = 20
	retryPause = 200 * time.Millisecond
)

// UnknownError is an edit that may or may not have been accepted. Applying the
// same lists again with the same edit id tells.
type UnknownError struct {
	Edit  string // id of the edit
	Cause error  // of the last attempt
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown: %v", e.Edit, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Editor changes the lists in the platform's store.
type Editor struct {
	Registry ramp.Registry
	Clock    ramp.Clock
}

// Apply makes the lists the version after base and returns them as accepted.
// The edit's id must be new. When another edit came first, it returns a
// [*ramp.ConflictError] and changes nothing. When the reply to the write is
// lost, it reads the store until it knows whether the edit was accepted; it
// returns an [*UnknownError] when it does not find out.
func (e Editor) Apply(
	ctx context.Context, lists ramp.Lists, base uint64, edit, author string,
) (ramp.Lists, error) {
	if err := lists.Check(); err != nil {
		return ramp.Lists{}, err
	}
	next := lists.WithVersion(base+1, edit, author)
	var err error
	for range editTries {
		var accepted bool
		accepted, err = e.try(ctx, next, base)
		if accepted {
			return next, nil
		}
		var conflict *ramp.ConflictError
		if errors.As(err, &conflict) {
			return ramp.Lists{}, err
		}
		if waitErr := ramp.Sleep(ctx, e.Clock, retryPause); waitErr != nil {
			break
		}
	}
	return ramp.Lists{}, &UnknownError{Edit: edit, Cause: err}
}

// Undo makes the lists of an earlier version the version after base.
func (e Editor) Undo(ctx context.Context, version, base uint64, edit, author string) (ramp.Lists, error) {
	past, err := e.Version(ctx, version)
	if err != nil {
		return ramp.Lists{}, err
	}
	return e.Apply(ctx, past, base, edit, author)
}

// Version returns the lists of a version, be it in force or earlier.
func (e Editor) Version(ctx context.Context, version uint64) (ramp.Lists, error) {
	current, _, err := e.Registry.Lists(ctx)
	if err != nil || current.Version == version {
		return current, err
	}
	return e.Registry.ArchivedLists(ctx, version)
}

// History returns up to count versions, the newest first. It ends early at a
// version that is no longer kept.
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

// try makes one attempt. It first looks whether an earlier one was accepted.
func (e Editor) try(ctx context.Context, next ramp.Lists, base uint64) (bool, error) {
	current, revision, err := e.Registry.Lists(ctx)
	if err != nil {
		return false, err
	}
	if current.Version > base {
		return e.wasAccepted(ctx, next, current)
	}
	if current.Version < base {
		return false, &ramp.NotFoundError{Key: fmt.Sprintf("version %d", base)} // or the read was stale
	}
	if current.Version > 0 {
		if err := e.Registry.ArchiveLists(ctx, current); err != nil {
			return false, err
		}
	}
	err = e.Registry.SwapLists(ctx, next, revision)
	var conflict *ramp.ConflictError
	if errors.As(err, &conflict) {
		return false, &ramp.StoreError{Call: "swap", Cause: err} // look again who won
	}
	return err == nil, err
}

// wasAccepted reports whether the version after base is the edit itself. A
// later version is found in the history, since every editor archives the
// version that it replaces.
func (e Editor) wasAccepted(ctx context.Context, next, current ramp.Lists) (bool, error) {
	found := current
	if current.Version > next.Version {
		past, err := e.Registry.ArchivedLists(ctx, next.Version)
		if err != nil {
			return false, err
		}
		found = past
	}
	if found.Edit == next.Edit {
		return true, nil
	}
	return false, &ramp.ConflictError{Key: "lists", Revision: current.Version}
}
