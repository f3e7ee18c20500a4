// Command jujubestiled is the daemon of an entry instance.
//
//	jujubestiled run -config FILE     runs an instance
//	jujubestiled simulate             simulates the routing policy on load patterns
//	jujubestiled serve                runs an instance on the users' platform
//	jujubestiled check -config FILE   checks the settings and exits
//	jujubestiled demo                 runs the whole system in one process
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&runCommand{}, "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&simulateCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&demoCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
