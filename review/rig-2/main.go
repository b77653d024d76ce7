// Command rig-2 plays one case of the second review with processes of the project.
//
// It starts control and entry processes as the deploy file says, on loopback addresses, and takes
// the parts of the platform, its operator, its clients and its backend servers. It is called from
// the repository's root, after the build of the deploy file:
//
//	target/rig-2 CASE RECORD
//
// The record is written to the file RECORD. The exit status is 1 if the rule was broken, 0 if it
// held, and 2 if the case could not be played. With TROUBLE=0 in the environment, everything is the
// same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name.
var cases = map[string]func(*rig) (verdict, error){
	"own-503":         playOwn503,
	"keyed-recover":   playKeyedRecover,
	"keyed-denied":    playKeyedDenied,
	"foreign-address": playForeignAddress,
	"poison":          playPoison,
	// The others are not cases; the report says what they showed.
	"keyed-roll": playKeyedRoll,
	"late-body":  playLateBody,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(exitNotPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer file.Close()
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", record: newRecord(file)}
	r.record.printf("case %s, trouble %t, %s", name, r.trouble, time.Now().UTC().Format(time.RFC3339))
	defer r.end()
	time.AfterFunc(timeLimit, func() {
		r.record.printf("could not be played within %s", timeLimit)
		os.Exit(exitNotPlayed) // the kernel ends the processes with this one
	})
	v, err := cases[name](r)
	if err != nil {
		r.record.printf("could not be played: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	r.record.printf("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
