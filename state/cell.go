package state

import "strings"

// CellSeparator separates the name of a pool from the part that names one of its cells.
const CellSeparator = "@"

// PoolOfCell returns the name of the pool that a cell belongs to. A pool that is not divided is
// a single cell of the same name.
func (s State) PoolOfCell(cell string) string {
	if _, isPool := Get[Pool](s, cell); isPool {
		return cell
	}
	if at := strings.LastIndex(cell, CellSeparator); at >= 0 {
		return cell[:at]
	}
	return cell
}
