package ledger

import (
	"encoding/hex"
	"strings"
)

const (
	uuidBytes       = 16
	uuidTextBytes   = 36
	uuidVersion7    = 7
	uuidVariantMask = 0xc0
	uuidVariant     = 0x80
)

// uuidv7Time returns the timestamp of a UUIDv7 key in Unix milliseconds, and
// whether the key is a UUIDv7.
func uuidv7Time(id string) (int64, bool) {
	if len(id) != uuidTextBytes || id[8] != '-' || id[13] != '-' || id[18] != '-' || id[23] != '-' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(id, "-", ""))
	if err != nil || len(raw) != uuidBytes {
		return 0, false
	}
	if raw[6]>>4 != uuidVersion7 || raw[8]&uuidVariantMask != uuidVariant {
		return 0, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}
