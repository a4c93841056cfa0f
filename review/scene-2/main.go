// Scene plays a case of the review against real entry instances, on loopback.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"alappuzha", "kottayam", "pathanamthitta", "kollam"}

const (
	// contact is contact_ms of the deployment.
	contact = 3 * time.Second
	// maxTime bounds a case.
	maxTime = 118 * time.Second
)

// scene plays a case. It returns what breaks the rule, or "".
type scene func(w *world, trouble bool) (broken string, err error)

var scenes = map[string]scene{}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Println("usage: scene CASE DIR, in the root of the repository")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println("case did not run:", err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		w.close()
		fmt.Println("case did not run: it was stopped, or took too long")
		os.Exit(2)
	}()
	broken, err := scenes[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.logf("case did not run: %v", err)
	case broken != "":
		w.logf("BROKEN: %s", broken)
	default:
		w.logf("the rule held")
	}
	w.close()
	switch {
	case err != nil:
		fmt.Println("case did not run:", err)
		if !errors.Is(err, errNotRun) {
			fmt.Println("(unexpected error)")
		}
		os.Exit(2)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

// begin starts workers, writes the configuration and starts nine entry instances.
func (w *world) begin(c config, workers ...*worker) error {
	for _, s := range workers {
		if err := w.addWorker(s); err != nil {
			return err
		}
	}
	w.store.put("op/config", c)
	if err := w.addFronts(9, zones); err != nil {
		return err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(contact)
	return nil
}
