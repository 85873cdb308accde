package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/martenport/martenport/internal/cli"
	"github.com/martenport/martenport/query/explain"
)

// explainCommand prints what the logs of entry instances say of one request.
type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"the request's id"`
		Logs    []string `positional-arg-name:"FILE" required:"1" description:"logs, one file an instance, or one with the instance before each line"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, path := range c.Args.Logs {
		file, err := os.Open(path)
		if err != nil {
			return cli.Usage(errors.Wrap(err, "log"))
		}
		read, err := explain.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
		_ = file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found, err := explain.Request(lines, c.Args.Request)
	if err != nil {
		return err
	}
	for _, l := range found {
		fmt.Println(l.Time.Format("15:04:05.000"), l.Instance, l.Text)
	}
	return nil
}
