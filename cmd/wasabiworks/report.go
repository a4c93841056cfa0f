package main

import "errors"

type reportCommand struct {
	Burn burnCommand `command:"burn" description:"print the service-level burn report"`
}

type burnCommand struct {
	platformOptions
	app *app
}

// Execute implements flags.Commander.
func (c *burnCommand) Execute([]string) error {
	return errors.New("report burn is not implemented yet")
}
