package guard

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

// Print is the fingerprint of a request: a digest of its workspace, method, path with query,
// and body. Copies of a request have the same one at every entry. The zero value stands
// for a request that cannot be identified.
type Print [16]byte

// ErrPrint means that a text is not the hexadecimal form of a fingerprint.
var ErrPrint = errors.New("not a fingerprint of 32 hexadecimal digits")

// PrintOf returns the fingerprint of a request. Of a long body, length and start are enough;
// length is -1 if it is not known.
func PrintOf(workspace, method, uri string, length int64, body []byte) Print {
	hash := sha256.New()
	buffer := make([]byte, 0, 256)
	for _, field := range []string{workspace, method, uri} {
		buffer = binary.AppendUvarint(buffer, uint64(len(field)))
		buffer = append(buffer, field...)
	}
	buffer = binary.AppendVarint(buffer, length)
	hash.Write(buffer)
	hash.Write(body)
	return Print(hash.Sum(buffer[:0])[:len(Print{})])
}

// ParsePrint returns the fingerprint of its hexadecimal form.
func ParsePrint(text string) (Print, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Print{}) {
		return Print{}, ErrPrint
	}
	return Print(data), nil
}

// PrintOfBytes returns the fingerprint that a message contains, or the zero value.
func PrintOfBytes(data []byte) Print {
	if len(data) != len(Print{}) {
		return Print{}
	}
	return Print(data)
}

// Bytes returns the fingerprint for a message, nil for the zero value.
func (p Print) Bytes() []byte {
	if p == (Print{}) {
		return nil
	}
	return p[:]
}

// String returns the hexadecimal form.
func (p Print) String() string { return hex.EncodeToString(p[:]) }
