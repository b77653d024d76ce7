package guard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var startTime = time.Unix(1_700_000_000, 0)

// at returns the time a number of milliseconds after the start.
func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func suspect(workspace, path string) Suspect {
	return Suspect{Print: PrintOf(workspace, "GET", path, 0, nil), Workspace: workspace, Label: "GET " + path}
}

func (t *Table) held(s Suspect, now time.Time) bool {
	_, held := t.Quarantined(s.Print, now)
	return held
}

func TestPrintsDiffer(t *testing.T) {
	is := is.New(t)
	print := PrintOf("w", "GET", "/a?b", 3, []byte("abc"))
	for _, other := range []Print{
		PrintOf("v", "GET", "/a?b", 3, []byte("abc")), PrintOf("w", "PUT", "/a?b", 3, []byte("abc")),
		PrintOf("w", "GET", "/a?c", 3, []byte("abc")),
		PrintOf("w", "GET", "/a?b", 4, []byte("abc")), PrintOf("w", "GET", "/a?b", 3, []byte("abd")),
		PrintOf("wG", "ET", "/a?b", 3, []byte("abc")),
	} {
		is.True(other != print)
	}
	parsed, err := ParsePrint(print.String())
	is.NoErr(err)
	is.Equal(parsed, print)
	_, err = ParsePrint("x")
	is.Equal(err, ErrPrint)
}

func TestRequestThatCrashesTwoServersInARowIsQuarantined(t *testing.T) {
	is := is.New(t)
	table := New()
	deadly := suspect("w", "/deadly")
	is.True(!table.Torn("p", deadly, "s1", 1, at(0), at(50)))
	is.True(table.Suspected(deadly.Print))
	is.True(table.Torn("p", deadly, "s2", 1, at(60), at(110)))
	left, held := table.Quarantined(deadly.Print, at(110))
	is.True(held)
	is.Equal(left, firstQuarantine)
}

// A popular request runs on many servers at a time. If some of them crash together, that is one
// piece of evidence against it, not one for each server.
func TestConcurrentCopiesCountOnce(t *testing.T) {
	is := is.New(t)
	table := New()
	popular := suspect("w", "/popular")
	for i := range 5 {
		table.Torn("p", popular, fmt.Sprint("s", i), 1, at(0), at(50+i))
	}
	is.True(!table.held(popular, at(60)))
	is.True(table.Answered("p", popular.Print, at(100)))
	is.True(!table.Suspected(popular.Print))
}

// Connections break for other reasons than a crash. A server that answers afterwards was not
// crashed by the request.
func TestServerThatAnswersAfterwardsHasNotCrashed(t *testing.T) {
	is := is.New(t)
	table := New()
	innocent := suspect("w", "/innocent")
	table.Torn("p", innocent, "s1", 1, at(0), at(50))
	table.Torn("p", innocent, "s2", 1, at(60), at(110))
	is.True(table.held(innocent, at(111)))
	table.Alive("s2", 1, at(40)) // sent before the crash
	table.Alive("s2", 2, at(120))
	is.True(table.held(innocent, at(121)))
	table.Alive("s2", 1, at(120))
	is.True(!table.held(innocent, at(121)))
	is.True(table.Suspected(innocent.Print)) // s1 may still have crashed
	table.Alive("s1", 1, at(120))
	is.True(!table.Suspected(innocent.Print))
}

// The next process at the address of a crashed server answers well.
func TestAnswersOfARestartedServerAcquitNobody(t *testing.T) {
	is := is.New(t)
	table := New()
	deadly := suspect("w", "/deadly")
	table.Torn("p", deadly, "s1", 1, at(0), at(50))
	table.Gone("s1")
	table.Alive("s1", 1, at(4000))
	is.True(table.Torn("p", deadly, "s2", 1, at(4100), at(4150)))
}

func TestQuarantineEndsAndDoublesForACrashAfterwards(t *testing.T) {
	is := is.New(t)
	table := New()
	deadly := suspect("w", "/deadly")
	table.Torn("p", deadly, "s1", 1, at(0), at(50))
	table.Torn("p", deadly, "s2", 1, at(60), at(110))
	later := at(111).Add(firstQuarantine)
	table.Expire(later)
	is.True(!table.held(deadly, later))
	is.True(table.Suspected(deadly.Print))
	is.True(table.Torn("p", deadly, "s3", 1, later, later.Add(time.Second)))
	left, _ := table.Quarantined(deadly.Print, later.Add(time.Second))
	is.Equal(left, 2*firstQuarantine)
	end := later.Add(time.Second + 2*firstQuarantine + suspectTTL + 1)
	table.Expire(end)
	is.True(!table.Suspected(deadly.Print))
}

// A request may come to any cell, and its holder may be replaced.
func TestEvidenceIsSharedByCellsAndInheritedByTheNextHolder(t *testing.T) {
	is := is.New(t)
	first, second := New(), New()
	deadly := suspect("w", "/deadly")
	first.Torn("a", deadly, "s1", 1, at(0), at(50))
	suspects, cleared := first.List("a", at(60))
	second.Import("a", suspects, cleared, at(60))
	is.True(second.Torn("b", deadly, "s2", 1, at(70), at(120)))
	suspects, cleared = second.List("b", at(130))
	first.Import("b", suspects, cleared, at(130))
	is.True(first.held(deadly, at(130)))
	next := New()
	next.Import("b", suspects, cleared, at(140))
	is.True(next.held(deadly, at(140)))

	// An answer in one cell clears the request in all of them.
	is.True(first.Answered("a", deadly.Print, at(150)))
	suspects, cleared = first.List("a", at(160))
	second.Import("a", suspects, cleared, at(160))
	is.True(!second.held(deadly, at(160)))
	suspects, _ = second.List("b", at(160))
	is.Equal(len(suspects), 0)
}

// Every request of a workspace may be new, and each may break.
func TestSuspectsOfOneWorkspaceDoNotDisplaceOthers(t *testing.T) {
	is := is.New(t)
	table := New()
	deadly := suspect("calm", "/deadly")
	table.Torn("p", deadly, "s1", 1, at(0), at(50))
	for i := range 10_000 {
		table.Torn("p", suspect("wild", fmt.Sprint("/", i)), fmt.Sprint("s", i%30), 1, at(100+i), at(150+i))
	}
	is.True(table.Suspected(deadly.Print))
	is.True(len(table.records) <= maxOfWorkspace+1)
	suspects, _ := table.List("p", at(20_000))
	is.True(len(suspects) <= MaxPublished)
	table.Expire(at(200_000))
	table.Expire(at(400_000))
	is.Equal(len(table.records)+len(table.byServer)+len(table.cells)+len(table.perWorkspace), 0)
}

// A random series of results with one deadly request: it never crashes more servers in
// sequence than it takes to put it in quarantine, and nothing that is answered stays there.
func TestRandomResultsQuarantineOnlyTheDeadlyRequest(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 29))
		table := New()
		deadly := suspect("w0", "/deadly")
		crashes := 0
		for ms := 0; ms < 20_000; ms += 20 {
			now, sent := at(ms), at(ms-10)
			server := fmt.Sprint("s", random.IntN(10))
			s := suspect(fmt.Sprint("w", random.IntN(3)), fmt.Sprint("/", random.IntN(40)))
			switch n := random.IntN(100); {
			case n < 5:
				if !table.held(deadly, sent) {
					crashes++
					table.Torn("p", deadly, server, uint64(crashes), sent, now)
					table.Torn("p", s, server, uint64(crashes), sent, now)
					table.Gone(server)
				}
			case n < 8:
				table.Torn("p", s, server, uint64(crashes), sent, now)
			default:
				table.Answered("p", s.Print, now)
				table.Alive(server, uint64(crashes), sent)
				if table.held(s, now) {
					t.Fatalf("seed %d: %s is in quarantine although it was answered", seed, s.Label)
				}
			}
			table.Expire(now)
		}
		if crashes > crashesBeforeQuarantine {
			t.Errorf("seed %d: %d crashes", seed, crashes)
		}
	}
}
