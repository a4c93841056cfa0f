// Command rig plays the cases of this review that are scripts. It is started by the
// run.sh of a case, in the root of the repository.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(d *deployment, trouble bool) int{"alike": alike, "rare": rare, "torn": torn, "last": last, "empty": empty}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d := newDeployment(os.Args[2])
	d.log("case %s, with the disruption: %v", os.Args[1], trouble)
	d.end(play(d, trouble))
}
