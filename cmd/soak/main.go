// Command soak runs the program under faults. See package soak.
package main

import (
	"os"

	"github.com/dottereldeal/dottereldeal/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
