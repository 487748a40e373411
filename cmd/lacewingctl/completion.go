package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" help:"bash or zsh." enum:"bash,zsh"`
}

// Help returns examples.
func (completionCommand) Help() string {
	return "Examples:\n  source <(lacewingctl completion bash)\n  source <(lacewingctl completion zsh)"
}

// Run prints a script that completes commands and flags. It is generated from
// the same model that parses the command line.
func (cmd completionCommand) Run(inv *invocation) error {
	var cases strings.Builder
	writeCases(&cases, inv.model.Node, "")
	prefix := ""
	if cmd.Shell == "zsh" {
		prefix = "autoload -U +X bashcompinit && bashcompinit\n"
	}
	_, err := fmt.Fprintf(inv.printer.Out, "%s%s", prefix, strings.Replace(completionScript, "CASES\n", cases.String(), 1))
	return err
}

// completionScript collects the command words before the cursor and offers
// what may follow them.
const completionScript = `_lacewingctl() {
  local path="" word i words=""
  for ((i = 1; i < COMP_CWORD; i++)); do
    word="${COMP_WORDS[i]}"
    case "$word" in -*) ;; *) path="$path $word" ;; esac
  done
  case "${path# }" in
CASES
  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _lacewingctl lacewingctl
`

func writeCases(out *strings.Builder, node *kong.Node, path string) {
	var words []string
	for _, child := range node.Children {
		words = append(words, child.Name)
		writeCases(out, child, strings.TrimSpace(path+" "+child.Name))
	}
	for _, flags := range node.AllFlags(true) {
		for _, f := range flags {
			words = append(words, "--"+f.Name)
		}
	}
	fmt.Fprintf(out, "    %q) words=%q ;;\n", path, strings.Join(words, " "))
}
