package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/explain"
)

// ExplainCmd prints the history of one request from the logs of the instances.
func ExplainCmd() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "explain --request ID [FILES...]",
		Short: "Print what the logs say about one request, in time order (reads standard input without files)",
		RunE: func(cmd *cobra.Command, files []string) error {
			logs, closeAll, err := openLogs(files, cmd.InOrStdin())
			if err != nil {
				return err
			}
			defer closeAll()
			n, err := explain.Request(id, logs, cmd.OutOrStdout())
			if err != nil {
				return err
			}
			if n == 0 {
				return fmt.Errorf("no line names request %q: either it caused no decision that is logged, or its lines exceeded the log's budget", id)
			}
			return nil
		},
	}
	// --request is the ID that the caller sent.
	cmd.Flags().StringVar(&id, "request", "", "request ID")
	_ = cmd.MarkFlagRequired("request") // Fails only if the flag does not exist.
	return cmd
}

// openLogs opens the files, or returns in if there are none. The returned
// function closes what was opened.
func openLogs(files []string, in io.Reader) ([]io.Reader, func(), error) {
	if len(files) == 0 {
		return []io.Reader{in}, func() {}, nil
	}
	var logs []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, f := range opened {
			_ = f.Close() // The file was only read.
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
