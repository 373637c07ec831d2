package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// keyVersion is the UUID version of idempotency keys.
const keyVersion = 7

// IssueTime returns when a key was issued, in unix milliseconds.
func IssueTime(key uuid.UUID) (int64, error) {
	if key.Version() != keyVersion || key.Variant() != uuid.RFC4122 {
		return 0, resultcode.New(resultcode.InvalidKey, "key %s is not a UUIDv7", key)
	}
	return issuedAt(key), nil
}

func issuedAt(key uuid.UUID) int64 {
	return int64(binary.BigEndian.Uint64(key[:8]) >> 16)
}

// DeriveKey returns the key of a child call that carries none. Parent is the
// parent's key or, when it has none, the root request id; both are UUIDv7. The
// same child call of a retried parent gets the same key and the same issue time.
func DeriveKey(parent uuid.UUID, service, kind string, ordinal uint64) uuid.UUID {
	hash := sha256.New()
	hash.Write(parent[:])
	for _, name := range []string{service, kind} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(name)))
		hash.Write(length[:])
		hash.Write([]byte(name))
	}
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], ordinal)
	hash.Write(number[:])
	var key uuid.UUID
	copy(key[:], hash.Sum(nil))
	copy(key[:6], parent[:6])
	key[6] = key[6]&0x0f | keyVersion<<4
	key[8] = key[8]&0x3f | 0x80
	return key
}
