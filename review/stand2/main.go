//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// cases maps the folders of the cases to their checks. A check returns whether the rule
// was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){
	"ends":   endsCase,
	"memory": memoryCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &recorder{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](rec, trouble)
	code := 0
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		code = 2
		if !errors.Is(err, errCannotRun) {
			fmt.Fprintln(os.Stderr, err)
		}
	case broken:
		code = 1
	}
	rec.printf("exit %d", code)
	_ = out.Close()
	os.Exit(code)
}
