// Package prog is the command line of the dottereldeal program.
//
// # Usage
//
//	os.Exit(prog.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package prog

import (
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/conf"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// streams are the standard streams of the program.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// subcommand is one verb of the command line.
type subcommand struct {
	name    string
	args    string
	summary string
	// settings declares the flags, so that help can list them.
	settings func(*conf.Set) runner
}

// runner does the work once the settings are parsed, and returns the exit status.
type runner func(set *conf.Set, s streams) int

// subcommands returns all verbs in the order in which help lists them.
func subcommands() []subcommand {
	return []subcommand{
		{"control", "", "run a control VM: the replicated log of tickets", controlCommand},
		{"entry", "", "run an entry VM: callers' requests to backend servers", entryCommand},
		{"ticket check", "FILE", "check a ticket file offline", checkCommand},
		{"ticket apply", "FILE", "send a ticket and wait for its outcome", applyCommand},
		{"ticket show", "[NUMBER]", "show the state, or what became of a ticket number", showCommand},
		{"ticket digest", "", "print the digest of the key on standard input", digestCommand},
		{"replica list", "", "show the control replicas", replicaCommand(http.MethodGet, false)},
		{"replica add", "VM", "add the replica that waits on a VM", replicaCommand(http.MethodPut, true)},
		{"replica replace", "VM", "replace the replica of a VM by the one that waits there", replicaCommand(http.MethodPut, true)},
		{"replica remove", "VM", "take the replica of a VM out of the group", replicaCommand(http.MethodDelete, true)},
		{"replica rescue", "", "make the replica in a folder the only one, after a majority is lost for good", rescueCommand},
		{"quarantine list", "", "list the requests that may crash backend servers", quarantineListCommand},
		{"quarantine release", "PRINT", "clear a request that is in quarantine", quarantineReleaseCommand},
		{"rollout list", "", "show the roll-outs with their evidence", rolloutListCommand},
		{"rollout stop", "POOL VERSION", "roll back a running roll-out", rolloutStopCommand},
		{"status", "", "show the state of the fleet", statusCommand},
		{"timeline", "", "merge the events of all processes", timelineCommand},
		{"demo", "", "run a small fleet on this machine", demoCommand},
		{"version", "", "print the version", versionCommand},
	}
}

// Main runs the program and returns its exit status.
func Main(args []string, in io.Reader, out, err io.Writer) int {
	s := streams{in: in, out: out, err: err}
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		return help(args, s)
	}
	command, rest, ok := find(args)
	if !ok {
		fmt.Fprintf(s.err, "unknown subcommand %q; \"dottereldeal help\" lists them\n", args[0])
		return exitUsage
	}
	set := conf.New(command.name)
	run := command.settings(set)
	parsed := set.Parse(rest)
	if errors.Is(parsed, conf.ErrHelp) {
		usage(command, s.out)
		return exitOK
	}
	if parsed != nil {
		fmt.Fprintln(s.err, parsed)
		return exitUsage
	}
	return run(set, s)
}

// find returns the subcommand that the arguments start with.
func find(args []string) (subcommand, []string, bool) {
	for _, c := range subcommands() {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return subcommand{}, nil, false
}

func help(args []string, s streams) int {
	if len(args) < 2 {
		fmt.Fprintln(s.out, "dottereldeal is a proxy fleet for backend servers with gray failures.")
		fmt.Fprintln(s.out, "\nSubcommands:")
		for _, c := range subcommands() {
			fmt.Fprintf(s.out, "  %-15s %s\n", c.name, c.summary)
		}
		fmt.Fprintln(s.out, "\n\"dottereldeal help SUBCOMMAND\" lists its flags. Every flag --a-b has the")
		fmt.Fprintln(s.out, "environment variable DOTTERELDEAL_A_B; the flag wins.")
		return exitOK
	}
	command, _, ok := find(args[1:])
	if !ok {
		return helpGroup(args[1], s)
	}
	usage(command, s.out)
	return exitOK
}

// helpGroup lists the verbs that start with a word, such as "ticket".
func helpGroup(word string, s streams) int {
	found := false
	for _, c := range subcommands() {
		if strings.HasPrefix(c.name, word+" ") {
			found = true
			usage(c, s.out)
		}
	}
	if !found {
		fmt.Fprintf(s.err, "unknown subcommand %q\n", word)
		return exitUsage
	}
	return exitOK
}

func usage(c subcommand, w io.Writer) {
	fmt.Fprintf(w, "dottereldeal %s [FLAGS] %s\n  %s\n", c.name, c.args, c.summary)
	set := conf.New(c.name)
	c.settings(set)
	set.Usage(w)
}

func versionCommand(*conf.Set) runner {
	return func(_ *conf.Set, s streams) int {
		version := "devel"
		if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
			version = info.Main.Version
		}
		fmt.Fprintln(s.out, "dottereldeal", version)
		return exitOK
	}
}
