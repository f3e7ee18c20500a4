// Command play runs the scripts of the review's cases: it stands in for the
// platform, the backends and the clients around the project's own programs. Run it
// from the root of the repository, after the build of the deploy file.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held, broken, couldNotRun = 0, 1, 2
)

// cases has the cases by the name of their file. Each file adds its own.
var cases = map[string]func(p *platform, trouble bool) int{}

// current is the platform of the case, or nil.
var current *platform

// cannotRun ends the program if the case cannot be played.
func cannotRun(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		if current != nil {
			current.close()
		}
		os.Exit(couldNotRun)
	}
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "backend" {
		runBackend(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(couldNotRun)
	}
	p := newPlatform(os.Args[2])
	current = p
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		cannotRun(errors.New("stopped by a signal"))
	}()
	code := cases[os.Args[1]](p, os.Getenv("TROUBLE") != "0")
	p.close()
	os.Exit(code)
}
