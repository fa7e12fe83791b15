package cmds_test

import (
	"context"
	"fmt"
	"os"

	"github.com/baobabquay/baobabquay/internal/cmds"
)

func ExampleRun() {
	code := cmds.Run(context.Background(), cmds.Env{
		Out: os.Stdout, Err: os.Stdout, ReadFile: os.ReadFile,
	}, []string{"config", "check", "../../examples/khangai/base.ini"})
	fmt.Println("exit code", int(code))
	// Output:
	// site khangai: no mistakes; domains 3, workspaces 4, services 3, operators 1
	// exit code 0
}
