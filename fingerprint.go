package sycamoreramp

import (
	"crypto/sha256"
	"fmt"
)

// Fingerprint identifies what a message asks for: messages of one caller with the same method,
// host, target and body have the same one, whatever their ids.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return fmt.Sprintf("%032x", f[:]) }

// Fingerprint returns the fingerprint of the message. The caller is the tenant, if there is one.
func (m Message) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, s := range []string{m.Tenant, m.Method, m.Host, m.Target} {
		_, _ = fmt.Fprintf(digest, "%d:%s", len(s), s) // a hash.Hash never fails to write
	}
	_, _ = digest.Write(m.Body)
	return Fingerprint(digest.Sum(nil)[:16])
}
