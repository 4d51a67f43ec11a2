// Command sedgehatchd is one entry instance.
package main

import (
	"os"

	"github.com/sedgehatch/sedgehatch/entry"
)

func main() { os.Exit(entry.Main(os.Args)) }
