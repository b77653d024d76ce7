package quorum

// memoryLog holds the log entries after the last compaction.
type memoryLog struct {
	// baseIndex is the index of the entry before entries[0], the last one compacted.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *memoryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// entriesFrom returns the entries starting at index, limited to maxBytes of data but
// at least one entry.
func (l *memoryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.baseIndex || index > l.last() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// slice returns the entries with first <= index <= last.
func (l *memoryLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	return l.entries[first-l.baseIndex-1 : last-l.baseIndex : last-l.baseIndex]
}

// truncateAndAppend appends entries, first removing existing ones from the index of
// entries[0] on.
func (l *memoryLog) truncateAndAppend(entries []Entry) {
	keep := entries[0].Index - l.baseIndex - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact drops the entries up to and including index.
func (l *memoryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	rest := l.entries[index-l.baseIndex:]
	l.entries = append([]Entry(nil), rest...)
	l.baseIndex, l.baseTerm = index, term
}

// reset empties the log and lets it start after a snapshot.
func (l *memoryLog) reset(index, term uint64) {
	l.baseIndex, l.baseTerm, l.entries = index, term, nil
}
