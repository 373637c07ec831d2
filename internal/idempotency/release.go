package idempotency

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
)

// Release writes an epoch without members to the service's ownership record. An
// operator may release the ownership only when every member of the record has ended: a
// running member that does not know the new epoch could grant keys that the next owner
// grants again. The live processes of the service, or else the next ones to start, then
// take over the ownership of its keys.
func Release(ctx context.Context, store platform.Store, service string, now time.Time) error {
	object, err := store.Get(ctx, RecordKey(service))
	if err != nil {
		return err
	}
	record, err := decodeRecord(service, object.Version, object.Value)
	if err != nil {
		return err
	}
	start := max(now.Add(MaxIssueTimeAhead+ClockTolerance).UnixMilli(), record.Newest().Start+1)
	released := record.next(start, nil, 0)
	released.WriteID = platform.NewWriteID()
	value, err := encodeRecord(released)
	if err != nil {
		return err
	}
	editor := &platform.Editor{Store: store, WriteID: writeIDOf}
	_, _, err = editor.Attempt(ctx, platform.Write{
		Key:       RecordKey(service),
		IfVersion: object.Version,
		Value:     value,
		ID:        released.WriteID,
	})
	return err
}
