package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dottereldeal/dottereldeal/quorum"
	"github.com/dottereldeal/dottereldeal/wire"
)

// recordKind is the type byte of a record.
type recordKind byte

const (
	headerRecord   recordKind = 'h'
	hardRecord     recordKind = 's'
	entryRecord    recordKind = 'e'
	markRecord     recordKind = 'm'
	snapshotRecord recordKind = 'p'
	identityRecord recordKind = 'i'
)

const (
	// frameBytes is the length of a record before its payload: length of the
	// payload, CRC-32C of kind and payload, kind.
	frameBytes = 4 + 4 + 1
	markBytes  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errRecord means that there is no whole record.
var errRecord = errors.New("no whole record")

// record is one framed record.
type record struct {
	kind    recordKind
	payload []byte
}

func appendRecord(buffer []byte, kind recordKind, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = append(buffer, byte(kind))
	buffer = append(buffer, payload...)
	sum := crc32.Checksum(buffer[start+8:], castagnoli)
	binary.LittleEndian.PutUint32(buffer[start+4:], sum)
	return buffer
}

func appendMessage(buffer []byte, kind recordKind, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return appendRecord(buffer, kind, payload), nil
}

func appendHard(buffer []byte, hard quorum.HardState) []byte {
	// A message of two integers always marshals.
	payload, _ := proto.Marshal(&wire.Hard{Term: hard.Term, Vote: uint64(hard.Vote)})
	return appendRecord(buffer, hardRecord, payload)
}

func appendEntries(buffer []byte, entries []quorum.Entry) ([]byte, error) {
	for _, e := range entries {
		m, err := quorum.EntryToWire(e)
		if err != nil {
			return nil, err
		}
		buffer, err = appendMessage(buffer, entryRecord, m)
		if err != nil {
			return nil, err
		}
	}
	return buffer, nil
}

// appendMark notes that the file is synced up to an offset, at which the mark
// itself stands.
func appendMark(buffer []byte, offset int64) []byte {
	return appendRecord(buffer, markRecord, binary.LittleEndian.AppendUint64(nil, uint64(offset)))
}

// readRecord reads the record at the start of data and returns the rest.
func readRecord(data []byte) (record, []byte, error) {
	if len(data) < frameBytes {
		return record{}, nil, errRecord
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > len(data)-frameBytes {
		return record{}, nil, errRecord
	}
	end := frameBytes + length
	if crc32.Checksum(data[8:end], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return record{}, nil, errRecord
	}
	return record{kind: recordKind(data[8]), payload: data[frameBytes:end]}, data[end:], nil
}

// logContent is what a log file holds.
type logContent struct {
	header  *wire.LogHeader
	hard    quorum.HardState
	entries []quorum.Entry
	// size is the length of the good part of the file.
	size int64
}

// readLog reads a log file. A write cut off at the end is left out.
func readLog(data []byte) (logContent, error) {
	var content logContent
	rest := data
	for len(rest) > 0 {
		rec, after, err := readRecord(rest)
		offset := len(data) - len(rest)
		if err != nil && markedAfter(data, offset) {
			return content, errors.Wrapf(ErrCorrupt, "record at byte %d", offset)
		}
		if err != nil {
			break
		}
		if err := content.add(rec); err != nil {
			return content, errors.Wrapf(err, "record at byte %d", offset)
		}
		rest = after
	}
	content.size = int64(len(data) - len(rest))
	if content.header == nil {
		return content, errors.Wrap(ErrCorrupt, "no header")
	}
	return content, nil
}

func (c *logContent) add(rec record) error {
	if c.header == nil && rec.kind != headerRecord {
		return errors.Wrap(ErrCorrupt, "no header")
	}
	switch rec.kind {
	case headerRecord:
		return c.addHeader(rec.payload)
	case hardRecord:
		return c.addHard(rec.payload)
	case entryRecord:
		return c.addEntry(rec.payload)
	case markRecord:
		return nil
	default:
		return errors.Wrapf(ErrUnsupportedFormat, "record kind %q", rec.kind)
	}
}

func (c *logContent) addHeader(payload []byte) error {
	header := &wire.LogHeader{}
	if err := proto.Unmarshal(payload, header); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	if header.GetFormat() > format {
		return errors.Wrapf(ErrUnsupportedFormat, "version %d", header.GetFormat())
	}
	c.header = header
	return nil
}

func (c *logContent) addHard(payload []byte) error {
	var hard wire.Hard
	if err := proto.Unmarshal(payload, &hard); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	c.hard = quorum.HardState{Term: hard.GetTerm(), Vote: quorum.ID(hard.GetVote())}
	return nil
}

// addEntry adds an entry. It replaces the entries from its index on.
func (c *logContent) addEntry(payload []byte) error {
	var m wire.LogEntry
	if err := proto.Unmarshal(payload, &m); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	e, err := quorum.EntryFromWire(&m)
	if err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	if len(c.entries) > 0 && e.Index < c.entries[0].Index {
		c.entries = nil
	}
	if len(c.entries) > 0 {
		keep := e.Index - c.entries[0].Index
		if keep > uint64(len(c.entries)) {
			return errors.Wrapf(ErrCorrupt, "record %d leaves a gap", e.Index)
		}
		c.entries = c.entries[:keep]
	}
	c.entries = append(c.entries, e)
	return nil
}

// markedAfter reports whether a mark proves that the byte at offset was synced.
func markedAfter(data []byte, offset int) bool {
	for at := offset + 1; at+frameBytes+markBytes <= len(data); at++ {
		if binary.LittleEndian.Uint32(data[at:]) != markBytes || recordKind(data[at+8]) != markRecord {
			continue
		}
		rec, _, err := readRecord(data[at:])
		if err == nil && binary.LittleEndian.Uint64(rec.payload) == uint64(at) {
			return true
		}
	}
	return false
}
