package idempotency

import (
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// keyVersion is the UUID version of idempotency keys.
const keyVersion = 7

// IssueTime returns when a key was issued, in unix milliseconds. It fails with
// InvalidKey when the key is not a UUIDv7.
func IssueTime(key uuid.UUID) (int64, error) {
	if key.Version() != keyVersion || key.Variant() != uuid.RFC4122 {
		return 0, resultcode.New(resultcode.InvalidKey, "key %s is not a UUIDv7", key)
	}
	return issuedAt(key), nil
}

// issuedAt returns the issue time of a UUIDv7 in unix milliseconds: its first 48 bits.
func issuedAt(key uuid.UUID) int64 {
	return int64(binary.BigEndian.Uint64(key[:8]) >> 16)
}
