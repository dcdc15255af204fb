package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"ebonyshunt.org/library/viewer"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const keyBytes = 24

var cmdKey = &command{
	use:     "key NAME",
	short:   "Generate a key for a team and print it once",
	example: "ebonyshunt key survey.field --team survey --owner ops",
	args:    cobra.ExactArgs(1),
	flags: func(flags *pflag.FlagSet) {
		flags.String("owner", "", "operator who may change the key")
		flags.String("team", "", "team that the key acts for")
	},
	run: func(invocation *invocation) error {
		raw := make([]byte, keyBytes)
		if _, err := rand.Read(raw); err != nil {
			return exitErrorf(exitFailed, "generate key: %w", err)
		}
		key := hex.EncodeToString(raw)
		values := invocation.changedFlags("owner", "team")
		values["keySHA256"] = viewer.Digest(key)
		values["withdrawn"] = "false"
		if err := invocation.editSection("key "+invocation.args[0], values); err != nil {
			return err
		}
		fmt.Fprintln(invocation.stdout, "key:", key)
		return nil
	},
}
