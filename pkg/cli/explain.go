package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/explain"
)

// ExplainCmd prints the story of one request from the logs of instances.
func ExplainCmd() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "explain --request ID [FILES...]",
		Short: "Print what the logs say of one request, in order (standard input without files)",
		RunE: func(cmd *cobra.Command, files []string) error {
			logs, closeAll, err := openAll(files, cmd.InOrStdin())
			if err != nil {
				return err
			}
			defer closeAll()
			n, err := explain.Request(id, logs, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if n == 0 {
				return fmt.Errorf("no line names request %q; answered without a decision worth a line, or its line was over the log's budget", id)
			}
			return nil
		},
	}
	// --request is the ID that the caller sent.
	cmd.Flags().StringVar(&id, "request", "", "request ID")
	_ = cmd.MarkFlagRequired("request") // Fails only for a flag that does not exist.
	return cmd
}

// openAll opens the files, or takes in when there are none.
func openAll(files []string, in io.Reader) ([]io.Reader, func(), error) {
	if len(files) == 0 {
		return []io.Reader{in}, func() {}, nil
	}
	var logs []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, f := range opened {
			_ = f.Close() // Read only.
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		opened = append(opened, f)
		logs = append(logs, f)
	}
	return logs, closeAll, nil
}
