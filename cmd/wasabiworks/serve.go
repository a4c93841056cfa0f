package main

import (
	"errors"

	"wasabiworks.example/wasabiworks/internal/operator/settings"
)

type serveCommand struct {
	settings.Settings
	app *app
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	return errors.New("serve is not implemented yet")
}
