package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"wasabiworks.example/wasabiworks/internal/operator/requestlog"
)

type explainCommand struct {
	Arguments struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request" required:"yes"`
		Logs    []string `positional-arg-name:"LOG" description:"log files of instances; standard input without"`
	} `positional-args:"yes"`
	app *app
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) (err error) {
	logs := c.app.stdin
	if len(c.Arguments.Logs) > 0 {
		readers := make([]io.Reader, 0, len(c.Arguments.Logs))
		for _, name := range c.Arguments.Logs {
			f, openErr := os.Open(name)
			if openErr != nil {
				return openErr
			}
			defer func() { err = errors.Join(err, f.Close()) }()
			readers = append(readers, f)
		}
		logs = io.MultiReader(readers...)
	}
	text, err := requestlog.Read(logs, c.Arguments.Request)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.app.stdout, text)
	return err
}
