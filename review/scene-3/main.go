// Command scene-3 plays cases of the review with the project's own program and small
// stand-ins of the platform.
package main

import (
	"os"
	"strconv"
	"time"
)

func main() {
	seed := uint64(1)
	if len(os.Args) > 2 {
		seed, _ = strconv.ParseUint(os.Args[2], 10, 64)
	}
	w := newWorld()
	code := 0
	switch os.Args[1] {
	case "drill-fuzz":
		drillFuzz(w, seed, 60*time.Second)
	case "partition":
		code = partition(w, seed)
	case "leave":
		code = leave(w, seed)
	case "parity":
		parity(w)
	case "stop":
		stopUnderLoad(w, seed)
	case "parts":
		code = parts(w, seed)
	case "helper-stop":
		helperStop(w, seed)
	case "mix-fuzz":
		mixFuzz(w, seed, 60*time.Second)
	case "memory":
		memory(w, os.Args[3], int(seed))
	}
	w.end()
	os.Exit(code)
}
