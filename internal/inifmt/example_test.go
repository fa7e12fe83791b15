package inifmt_test

import (
	"context"
	"fmt"

	"github.com/baobabquay/baobabquay/internal/inifmt"
)

func ExampleRead() {
	_, err := inifmt.Read(context.Background(), inifmt.Source{File: "base.ini", Text: `
[site]
name = khangai
[domain "ub1"]
region = ulaanbaatar
inService = maybe
[operator "desk"]
keys = sha256:00000000000000000000000000000001:0000000000000000000000000000000000000000000000000000000000000001
`})
	fmt.Println(err)
	// Output:
	// read configuration: base.ini:6: [domain "ub1"] inService: "maybe": not a Boolean value; allowed: true or false
}
