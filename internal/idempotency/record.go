package idempotency

import "github.com/pkg/errors"

// maxEpochs bounds the epochs in a record and thereby its size. Keys of older epochs are
// refused as too old.
const maxEpochs = 64

// Record is the ownership record of a service: it determines which member owns which of
// the service's keys. A Record is immutable once built.
type Record struct {
	Service string
	// Epochs has the newest epoch first and is never empty.
	Epochs []Epoch
	// ValidUntil is the issue time, in unix milliseconds, from which on no key of the
	// newest epoch is granted.
	ValidUntil int64
	// WriteID identifies the write that produced the record.
	WriteID string
	// Version is the version of the platform object.
	Version int64
}

// Newest returns the newest epoch.
func (r *Record) Newest() Epoch {
	return r.Epochs[0]
}

// EpochOf returns the epoch of an issue time. ok is false when the time is before
// the oldest epoch kept.
func (r *Record) EpochOf(issued int64) (e Epoch, ok bool) {
	for _, e := range r.Epochs {
		if e.Start <= issued {
			return e, true
		}
	}
	return Epoch{}, false
}

// next returns a record with one more epoch, which starts at start and has the given
// members. It leaves out the epochs whose keys were all issued before oldest, and the
// oldest ones beyond maxEpochs. The caller sets WriteID and Version.
func (r *Record) next(start int64, members []Member, oldest int64) *Record {
	added := Epoch{Number: r.Newest().Number + 1, Start: start, Members: members}
	successor := &Record{Service: r.Service, Epochs: []Epoch{added}, ValidUntil: r.ValidUntil}
	for i, e := range r.Epochs {
		if i > 0 && r.Epochs[i-1].Start < oldest || len(successor.Epochs) == maxEpochs {
			break
		}
		successor.Epochs = append(successor.Epochs, e)
	}
	return successor
}

// check returns an error for a record that no correct writer produces.
func (r *Record) check() error {
	if len(r.Epochs) == 0 {
		return errors.Errorf("ownership record of %q has no epoch", r.Service)
	}
	for i := 1; i < len(r.Epochs); i++ {
		newer, older := r.Epochs[i-1], r.Epochs[i]
		if newer.Number != older.Number+1 || newer.Start <= older.Start {
			return errors.Errorf("ownership record of %q: epoch %d at %d follows epoch %d at %d; numbers and starts must rise",
				r.Service, newer.Number, newer.Start, older.Number, older.Start)
		}
	}
	return nil
}

// checkSuccessorOf returns an error when the record's newest epoch is older than that of
// an older record, or an epoch that is in both records differs.
func (r *Record) checkSuccessorOf(older *Record) error {
	if r.Newest().Number < older.Newest().Number {
		return errors.Errorf("ownership record of %q went back from epoch %d to %d",
			r.Service, older.Newest().Number, r.Newest().Number)
	}
	for _, e := range r.Epochs {
		for _, o := range older.Epochs {
			if e.Number == o.Number && (e.Start != o.Start || !sameMembers(e, o)) {
				return errors.Errorf("ownership record of %q changed epoch %d", r.Service, e.Number)
			}
		}
	}
	return nil
}

func sameMembers(a, b Epoch) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for _, m := range a.Members {
		if !b.Has(m.Identity) {
			return false
		}
	}
	return true
}
