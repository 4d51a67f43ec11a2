// Command sedgehatch is the command-line tool for operators and callers.
package main

import (
	"os"

	"github.com/sedgehatch/sedgehatch/cli"
)

func main() { os.Exit(cli.Main(os.Args)) }
