// Command rig-3 runs the script cases of the review: each starts a small deployment of the
// project's own program, brings about one disruption and checks one rule.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(string, bool) int{
		"lost-state": lostState,
		"storms":     storms,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")
		os.Exit(2)
	}
	exitOnSignal()
	exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}
