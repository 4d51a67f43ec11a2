// Command sedgehatchd is the daemon: each process is one instance of sedgehatch.
package main

import (
	"os"

	"github.com/sedgehatch/sedgehatch/entry"
)

func main() { os.Exit(entry.Main(os.Args)) }
