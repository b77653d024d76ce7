// Command dottereldeal is the proxy fleet for backend servers with gray
// failures: its processes and its operators' tools. See package prog.
package main

import (
	"os"

	"github.com/dottereldeal/dottereldeal/prog"
)

func main() {
	os.Exit(prog.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
