package idempotency

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// recordPrefix is the prefix of the records' keys on the platform; the service's
// name follows.
const recordPrefix = "ownership/"

// RecordKey returns the platform key of a service's record.
func RecordKey(service string) string {
	return recordPrefix + service
}

// encodeRecord returns the stored form: JSON, which operators can read. The version is
// left out, since the platform assigns it.
func encodeRecord(r *Record) ([]byte, error) {
	message := r.toProto()
	message.Version = 0
	value, err := protojson.Marshal(message)
	return value, errors.Wrapf(err, "encode the ownership record of %q", r.Service)
}

// decodeRecord decodes the stored form. version is that of the platform object.
func decodeRecord(service string, version int64, value []byte) (*Record, error) {
	var message peerv1.OwnershipRecord
	if err := protojson.Unmarshal(value, &message); err != nil {
		return nil, errors.Wrapf(err, "decode the ownership record of %q", service)
	}
	message.Version = version
	return recordFromProto(service, &message)
}

// writeIDOf returns the write ID in a stored record, or "" for a malformed one.
func writeIDOf(value []byte) string {
	var message peerv1.OwnershipRecord
	if err := protojson.Unmarshal(value, &message); err != nil {
		return ""
	}
	return message.WriteId
}

func (r *Record) toProto() *peerv1.OwnershipRecord {
	if r == nil {
		return nil
	}
	message := &peerv1.OwnershipRecord{
		Service:          r.Service,
		ValidUntilUnixMs: r.ValidUntil,
		WriteId:          r.WriteID,
		Version:          r.Version,
	}
	for _, e := range r.Epochs {
		epoch := &peerv1.Epoch{Number: e.Number, StartUnixMs: e.Start}
		for _, m := range e.Members {
			epoch.Members = append(epoch.Members, m.toProto())
		}
		message.Epochs = append(message.Epochs, epoch)
	}
	return message
}

// recordFromProto returns the record in a message, and nil without an error for a nil
// message. It fails when the record is that of another service or malformed.
func recordFromProto(service string, message *peerv1.OwnershipRecord) (*Record, error) {
	if message == nil {
		return nil, nil
	}
	if message.Service != service {
		return nil, errors.Errorf("ownership record of service %q; it has to be that of service %q", message.Service, service)
	}
	r := &Record{
		Service:    message.Service,
		ValidUntil: message.ValidUntilUnixMs,
		WriteID:    message.WriteId,
		Version:    message.Version,
	}
	for _, e := range message.Epochs {
		epoch := Epoch{Number: e.Number, Start: e.StartUnixMs}
		for _, m := range e.Members {
			epoch.Members = append(epoch.Members, memberFromProto(m))
		}
		r.Epochs = append(r.Epochs, epoch)
	}
	return r, r.check()
}

func (m Member) toProto() *peerv1.OwnerMember {
	return &peerv1.OwnerMember{Id: m.ID, Incarnation: m.Incarnation, PeerAddress: m.Address}
}

func memberFromProto(m *peerv1.OwnerMember) Member {
	return Member{Identity: Identity{ID: m.GetId(), Incarnation: m.GetIncarnation()}, Address: m.GetPeerAddress()}
}
