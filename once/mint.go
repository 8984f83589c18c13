package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Format of a minted key: the prefix, then in base64url the holder, its expiry,
// a serial number and the MAC. Lengths are in bytes.
const (
	keyPrefix = "cl1."
	holderLen = len(wire.NodeID{})
	numberLen = 8
	macLen    = 16
	signedLen = holderLen + 2*numberLen
	keyLen    = signedLen + macLen

	// MaxKeyLen is the maximum length of a key in bytes, minted or caller-made.
	MaxKeyLen = 255
)

// SecretLen is the length of the secret of a Mint in bytes.
const SecretLen = sha256.Size

var keyEncoding = base64.RawURLEncoding.Strict()

// KeyInfo is the unverified content of a key.
type KeyInfo struct {
	// Minted reports whether a node minted the key; otherwise the caller made it.
	Minted bool
	// Holder is the incarnation that may run the request of a minted key.
	Holder wire.NodeID
	// Expires is the age of the holder's incarnation at which a minted key
	// expires. Other nodes can't interpret it, as clocks are not synchronized.
	Expires time.Duration
}

// ParseKey parses a key without verifying it. Text without the prefix of minted
// keys is a caller-made key. The error reports a bad length, a byte that is not
// visible ASCII, or a malformed minted key.
func ParseKey(key string) (KeyInfo, error) {
	if err := checkText(key); err != nil {
		return KeyInfo{}, err
	}
	if !strings.HasPrefix(key, keyPrefix) {
		return KeyInfo{}, nil
	}
	raw, err := decodeKey(key)
	if err != nil {
		return KeyInfo{}, err
	}
	info := KeyInfo{Minted: true}
	copy(info.Holder[:], raw[:holderLen])
	expires := binary.BigEndian.Uint64(raw[holderLen:])
	info.Expires = time.Duration(expires)
	if info.Expires < 0 {
		return KeyInfo{}, fmt.Errorf("minted key: expiry %d out of range", expires)
	}
	return info, nil
}

func checkText(key string) error {
	if key == "" || len(key) > MaxKeyLen {
		return fmt.Errorf("key of %d bytes: want 1 to %d", len(key), MaxKeyLen)
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return fmt.Errorf("key with byte %#x: want visible ASCII only", c)
		}
	}
	return nil
}

func decodeKey(key string) ([keyLen]byte, error) {
	var raw [keyLen]byte
	text := key[len(keyPrefix):]
	if len(text) != keyEncoding.EncodedLen(keyLen) {
		return raw, fmt.Errorf("minted key of %d characters: want %d",
			len(key), len(keyPrefix)+keyEncoding.EncodedLen(keyLen))
	}
	if _, err := keyEncoding.Decode(raw[:], []byte(text)); err != nil {
		return raw, fmt.Errorf("minted key: %w", err)
	}
	return raw, nil
}

// Mint issues and verifies the minted keys of one incarnation. It is not safe for
// concurrent use.
//
// The secret belongs to the incarnation, so no other one accepts the keys: a node that
// restarts at the same address refuses them.
type Mint struct {
	cfg    Config
	self   wire.NodeID
	secret [SecretLen]byte
	clock  clock
	serial uint64
}

// NewMint returns the Mint of an incarnation that started at start. secret must be
// random and new for each incarnation.
func NewMint(cfg Config, self wire.NodeID, secret [SecretLen]byte, start time.Time) *Mint {
	return &Mint{cfg: cfg, self: self, secret: secret, clock: clock{start: start}}
}

// Mint returns a new key for one operation, valid for KeyTTL. Keys differ in their
// serial number; the MAC prevents forging.
func (m *Mint) Mint(now time.Time, service, operation string) string {
	var raw [keyLen]byte
	m.serial++
	copy(raw[:], m.self[:])
	expires := m.clock.ageAt(now) + m.cfg.KeyTTL
	binary.BigEndian.PutUint64(raw[holderLen:], uint64(expires))
	binary.BigEndian.PutUint64(raw[holderLen+numberLen:], m.serial)
	copy(raw[signedLen:], m.mac(raw[:signedLen], service, operation))
	return keyPrefix + keyEncoding.EncodeToString(raw[:])
}

// Verify checks that the key was minted by this incarnation for the operation and
// has not expired. A key that this incarnation did not mint has not run here, so the
// verdict is NotRun. A key that has expired or names another holder may have run.
func (m *Mint) Verify(now time.Time, key, service, operation string) *verdict.Error {
	info, err := ParseKey(key)
	if err != nil {
		return verdict.Refuse(verdict.KeyInvalid, "%v", err)
	}
	if !info.Minted || info.Holder != m.self {
		return verdict.MayHaveRunError(verdict.KeyHolderGone, "key is not held by node %s", m.self.Short())
	}
	raw, err := decodeKey(key)
	if err != nil {
		return verdict.Refuse(verdict.KeyInvalid, "%v", err)
	}
	if !hmac.Equal(raw[signedLen:], m.mac(raw[:signedLen], service, operation)) {
		return verdict.Refuse(verdict.KeyInvalid, "key was not minted for %s.%s", service, operation)
	}
	if m.clock.ageAt(now) >= info.Expires {
		return expiredError()
	}
	return nil
}

func (m *Mint) mac(signed []byte, service, operation string) []byte {
	h := hmac.New(sha256.New, m.secret[:])
	h.Write(signed)
	// The length prefix distinguishes "a"+"bc" from "ab"+"c".
	var n [numberLen]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(service)))
	h.Write(n[:])
	h.Write([]byte(service))
	h.Write([]byte(operation))
	return h.Sum(nil)[:macLen]
}

func expiredError() *verdict.Error {
	return verdict.MayHaveRunError(verdict.KeyExpired, "key has expired; it may have been used")
}
