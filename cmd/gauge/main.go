// Command gauge measures a fleet on loopback. See package gauge.
package main

import (
	"os"

	"github.com/dottereldeal/dottereldeal/gauge"
)

func main() {
	os.Exit(gauge.Main(os.Args[1:], os.Stdout, os.Stderr))
}
