// Command sedgehatch is the command line of operators and callers.
package main

import (
	"os"

	"github.com/sedgehatch/sedgehatch/cli"
)

func main() { os.Exit(cli.Main(os.Args)) }
