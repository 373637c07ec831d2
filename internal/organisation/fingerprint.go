package organisation

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the number of bytes of the hash in a fingerprint.
const fingerprintBytes = 6

// Fingerprint returns what stands for a credential in logs, errors and on status pages.
func Fingerprint(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:fingerprintBytes])
}
