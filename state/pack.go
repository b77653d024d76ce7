package state

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// minPackedBytes is the size of the objects from which a part is compressed.
	minPackedBytes = 2 << 10
	// maxUnpackedBytes bounds the size of a part after decompression.
	maxUnpackedBytes = 64 << 20
)

// ErrPackedTooLarge means that a compressed part exceeds maxUnpackedBytes.
var ErrPackedTooLarge = errors.New("compressed delta is too large")

// pack returns a delta with its objects compressed, or the delta itself if it is small. A
// full state is JSON with many repetitions, and the links of entries can be slow: 440
// entries on 2 Mbit/s each took seconds for it after a common start.
func pack(d *wire.Delta) (*wire.Delta, error) {
	objects := &wire.Delta{Objects: d.GetObjects()}
	if proto.Size(objects) < minPackedBytes {
		return d, nil
	}
	plain, err := proto.Marshal(objects)
	if err != nil {
		return nil, errors.Wrap(err, "encode objects")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress objects")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress objects")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress objects")
	}
	return &wire.Delta{
		From: d.GetFrom(), To: d.GetTo(), RemovalsSince: d.GetRemovalsSince(), More: d.GetMore(), Part: d.GetPart(),
		Packed: packed.Bytes(), Digest: d.GetDigest(),
	}, nil
}

// unpack returns the objects of a delta.
func unpack(d *wire.Delta) ([]*wire.Object, error) {
	if len(d.GetPacked()) == 0 {
		return d.GetObjects(), nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.GetPacked())), maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress delta")
	}
	if len(plain) > maxUnpackedBytes {
		return nil, ErrPackedTooLarge
	}
	var objects wire.Delta
	if err := proto.Unmarshal(plain, &objects); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	return objects.GetObjects(), nil
}
