package sched

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which earlier requests fade from the shares.
	shareMemory = 10 * time.Second
	// leastShare is how often requests of a route or of a workspace get a place at least, as a
	// part of how often all do. Operators tolerate a quarter.
	leastShare = 0.3
	// minOffered is the number of requests from which a share means something.
	minOffered = 5
	// scarceShare is the share of all requests above which there is room enough.
	scarceShare = 0.95
)

// share counts the requests that asked for a place and those that got one.
type share struct {
	offered, granted float64
	at               time.Time
}

func (s *share) fade(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
		s.offered, s.granted, s.at = s.offered*factor, s.granted*factor, now
	}
}

// shares tells which routes and workspaces get too little.
//
// The load it answers: for as long as urgent requests need all servers, the others would get
// none, and the workspace with most requests would be the only one that is refused. Each gets
// leastShare of what all get on the mean. As that is less than the mean, no route or workspace
// overtakes a more urgent one by it.
type shares struct {
	all  share
	each map[string]*share
}

func newShares() *shares { return &shares{each: make(map[string]*share)} }

// offer counts a request.
func (s *shares) offer(name string, now time.Time) {
	one := s.each[name]
	if one == nil {
		one = &share{at: now}
		s.each[name] = one
	}
	one.fade(now)
	s.all.fade(now)
	one.offered++
	s.all.offered++
}

// withdraw takes back that a request was counted, because it is left to another cell.
func (s *shares) withdraw(name string) {
	if one := s.each[name]; one != nil {
		one.offered, s.all.offered = max(0, one.offered-1), max(0, s.all.offered-1)
	}
}

// grant counts requests that got a place, and a negative number those that lost theirs.
func (s *shares) grant(name string, n float64) {
	if one := s.each[name]; one != nil {
		one.granted, s.all.granted = max(0, one.granted+n), max(0, s.all.granted+n)
	}
}

// starved reports whether a name gets less than the least share.
func (s *shares) starved(name string) bool {
	one := s.each[name]
	if one == nil || one.offered < minOffered || s.all.granted >= scarceShare*s.all.offered {
		return false
	}
	return one.granted/one.offered < leastShare*s.all.granted/s.all.offered
}

// forget removes the names that have not asked for long.
func (s *shares) forget(now time.Time) {
	for name, one := range s.each {
		if now.Sub(one.at) > shareMemory {
			delete(s.each, name)
		}
	}
}
