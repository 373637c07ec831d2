package call

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"
)

// Layout of a UUIDv7: the length of the issue time at its start, and the indexes of the
// bytes that hold the version and the variant.
const (
	uuidTimeBytes   = 6
	uuidVersionByte = 6
	uuidVariantByte = 8
)

// NestedLineage derives the lineage of a nested call (see Metadata.Lineage): a UUIDv7
// with the issue time of the parent's lineage. The result is the same whenever the parent
// call runs again and makes the same calls in the same order. ordinal numbers the
// parent's calls of this service and kind.
func NestedLineage(parent uuid.UUID, service, kind string, ordinal int) uuid.UUID {
	buffer := make([]byte, 0, maxValueBytes+2*maxNameBytes)
	buffer = append(buffer, parent[:]...)
	buffer = binary.BigEndian.AppendUint64(buffer, uint64(ordinal))
	buffer = append(buffer, service...)
	buffer = append(buffer, 0)
	buffer = append(buffer, kind...)
	sum := sha256.Sum256(buffer)
	id := uuid.UUID(sum[:16])
	copy(id[:uuidTimeBytes], parent[:uuidTimeBytes])
	id[uuidVersionByte] = id[uuidVersionByte]&0x0f | uuidVersion7<<4
	id[uuidVariantByte] = id[uuidVariantByte]&0x3f | 0x80
	return id
}
