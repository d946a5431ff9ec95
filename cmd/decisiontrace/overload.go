package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"eiderspread/internal/testbed/loadplot"
	"eiderspread/internal/testbed/oracle"
)

type overloadCmd struct {
	Folder string `arg:"" type:"existingdir" help:"Directory written by testbed overload -keep. An SVG picture is written next to each JSON file."`
}

func (c *overloadCmd) Run() error {
	paths, err := filepath.Glob(filepath.Join(c.Folder, "*.json"))
	if err != nil {
		return err
	}
	if len(paths) == 0 {
		return fmt.Errorf("%s: no *.json files, want a directory written by testbed overload -keep", c.Folder)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var l oracle.Load
		if err := json.Unmarshal(text, &l); err != nil {
			return fmt.Errorf("decode %s: %w", path, err)
		}
		name := strings.TrimSuffix(path, ".json")
		if err := loadplot.Draw(&l, filepath.Base(name), name+".svg"); err != nil {
			return err
		}
		fmt.Println(name + ".svg")
	}
	return nil
}
