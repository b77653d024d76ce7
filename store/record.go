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
	logHeaderRecord recordKind = 'h'
	hardStateRecord recordKind = 's'
	entryRecord     recordKind = 'e'
	syncMarkRecord  recordKind = 'm'
	snapshotRecord  recordKind = 'p'
	identityRecord  recordKind = 'i'
)

const (
	// recordHeaderBytes is the size of the fields before the payload: payload length,
	// CRC-32C of kind and payload, kind.
	recordHeaderBytes    = 4 + 4 + 1
	syncMarkPayloadBytes = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errInvalidRecord means that a record is incomplete or its checksum does not match.
var errInvalidRecord = errors.New("record is incomplete or has a wrong checksum")

// record is a decoded record of a file.
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

func appendHardState(buffer []byte, hardState quorum.HardState) []byte {
	// Marshalling a message of two integers cannot fail.
	payload, _ := proto.Marshal(&wire.Hard{Term: hardState.Term, Vote: uint64(hardState.Vote)})
	return appendRecord(buffer, hardStateRecord, payload)
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

// appendSyncMark appends a mark that the file is synced up to offset, which is also the
// offset of the mark itself.
func appendSyncMark(buffer []byte, offset int64) []byte {
	return appendRecord(buffer, syncMarkRecord, binary.LittleEndian.AppendUint64(nil, uint64(offset)))
}

// readRecord decodes the record at the start of data and returns the remaining data.
func readRecord(data []byte) (record, []byte, error) {
	if len(data) < recordHeaderBytes {
		return record{}, nil, errInvalidRecord
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length > len(data)-recordHeaderBytes {
		return record{}, nil, errInvalidRecord
	}
	end := recordHeaderBytes + length
	if crc32.Checksum(data[8:end], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return record{}, nil, errInvalidRecord
	}
	return record{kind: recordKind(data[8]), payload: data[recordHeaderBytes:end]}, data[end:], nil
}

// logFile is the content of a log file.
type logFile struct {
	header    *wire.LogHeader
	hardState quorum.HardState
	entries   []quorum.Entry
	// validSize is the number of bytes up to the end of the last valid record.
	validSize int64
}

// readLog decodes a log file. An incomplete write at the end is ignored.
func readLog(data []byte) (logFile, error) {
	var parsed logFile
	rest := data
	for len(rest) > 0 {
		rec, after, err := readRecord(rest)
		offset := len(data) - len(rest)
		if err != nil && syncedBeyond(data, offset) {
			return parsed, errors.Wrapf(ErrCorrupt, "invalid record at byte %d", offset)
		}
		if err != nil {
			break
		}
		if err := parsed.add(rec); err != nil {
			return parsed, errors.Wrapf(err, "record at byte %d", offset)
		}
		rest = after
	}
	parsed.validSize = int64(len(data) - len(rest))
	if parsed.header == nil {
		return parsed, errors.Wrap(ErrCorrupt, "log has no header record")
	}
	return parsed, nil
}

func (f *logFile) add(rec record) error {
	if f.header == nil && rec.kind != logHeaderRecord {
		return errors.Wrap(ErrCorrupt, "first record is not a header")
	}
	switch rec.kind {
	case logHeaderRecord:
		return f.addHeader(rec.payload)
	case hardStateRecord:
		return f.addHardState(rec.payload)
	case entryRecord:
		return f.addEntry(rec.payload)
	case syncMarkRecord:
		return nil
	default:
		return errors.Wrapf(ErrUnsupportedFormat, "unknown record kind %q", rec.kind)
	}
}

func (f *logFile) addHeader(payload []byte) error {
	header := &wire.LogHeader{}
	if err := proto.Unmarshal(payload, header); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	if header.GetFormat() > format {
		return errors.Wrapf(ErrUnsupportedFormat, "log format version %d", header.GetFormat())
	}
	f.header = header
	return nil
}

func (f *logFile) addHardState(payload []byte) error {
	var hardState wire.Hard
	if err := proto.Unmarshal(payload, &hardState); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	f.hardState = quorum.HardState{Term: hardState.GetTerm(), Vote: quorum.ID(hardState.GetVote())}
	return nil
}

// addEntry adds a log entry and removes earlier entries with the same or a higher index.
func (f *logFile) addEntry(payload []byte) error {
	var m wire.LogEntry
	if err := proto.Unmarshal(payload, &m); err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	e, err := quorum.EntryFromWire(&m)
	if err != nil {
		return errors.Wrap(ErrCorrupt, err.Error())
	}
	if len(f.entries) > 0 && e.Index < f.entries[0].Index {
		f.entries = nil
	}
	if len(f.entries) > 0 {
		keep := e.Index - f.entries[0].Index
		if keep > uint64(len(f.entries)) {
			return errors.Wrapf(ErrCorrupt, "log entry %d does not follow the entry before it", e.Index)
		}
		f.entries = f.entries[:keep]
	}
	f.entries = append(f.entries, e)
	return nil
}

// syncedBeyond reports whether a valid sync mark after offset proves that the byte at
// offset was synced.
func syncedBeyond(data []byte, offset int) bool {
	for at := offset + 1; at+recordHeaderBytes+syncMarkPayloadBytes <= len(data); at++ {
		if binary.LittleEndian.Uint32(data[at:]) != syncMarkPayloadBytes || recordKind(data[at+8]) != syncMarkRecord {
			continue
		}
		rec, _, err := readRecord(data[at:])
		if err == nil && binary.LittleEndian.Uint64(rec.payload) == uint64(at) {
			return true
		}
	}
	return false
}
