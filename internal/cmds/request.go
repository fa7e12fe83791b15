package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/pkg/client"
)

type (
	// requestOptions holds the flags of the request command.
	requestOptions struct {
		id            string
		nonIdempotent bool
		class         string
		contentType   string
	}

	// responseJSON is the response of an endpoint.
	responseJSON struct {
		RequestID   string `json:"requestId"`
		Status      int    `json:"status"`
		ContentType string `json:"contentType"`
		Body        []byte `json:"body"`
	}
)

var errResponseStatus = errors.New("service returned an error")

func newRequestCommand() *command {
	return &command{
		name: "request", args: "SERVICE", run: runRequest,
		summary: "send the standard input to a service and print the body of the response",
		details: "The value of --timeout is the deadline of the request; without it the timeout of the service applies.\n" +
			"The exit code is 1 if the status of the response is 400 or above. A non-idempotent request runs at\n" +
			"most once; after an unknown outcome, repeat it with the identifier in the error message to learn its\n" +
			"outcome.",
		flags: append(serverFlags(),
			flag{
				long: "request-id", arg: "ID", summary: "identifier of the request",
				stringVar: func(o *options) *string { return &o.request.id },
			},
			flag{
				long: "non-idempotent", short: "n", summary: "run the request at most once",
				boolVar: func(o *options) *bool { return &o.request.nonIdempotent },
			},
			flag{
				long: "class", short: "c", arg: "CLASS", summary: "urgent, normal or background (default normal)",
				stringVar: func(o *options) *string { return &o.request.class },
			},
			flag{
				long: "content-type", arg: "TYPE", summary: "media type of the body",
				stringVar: func(o *options) *string { return &o.request.contentType },
			},
		),
		examples: []example{
			{"baobabquay request check < font.otf", "check a font"},
			{"baobabquay request stamp --non-idempotent --request-id licence-204 < licence.json", "issue a licence once"},
		},
	}
}

func runRequest(ctx context.Context, inv *invocation) error {
	service, err := inv.singleArg("SERVICE")
	if err != nil {
		return err
	}
	body, err := io.ReadAll(inv.env.In)
	if err != nil {
		return fmt.Errorf("read standard input: %w", err)
	}
	o := inv.options.request
	return inv.withClient(ctx, 0, func(ctx context.Context, c *client.Client) error {
		a, err := c.Request(ctx, client.Request{
			Service: service, ID: o.id, NonIdempotent: o.nonIdempotent, Class: o.class, ContentType: o.contentType, Body: body,
		})
		if err != nil {
			return withRequestID(err)
		}
		if err := inv.print(responseJSON{a.RequestID, a.Status, a.ContentType, a.Body}, string(a.Body)); err != nil {
			return err
		}
		if a.Status >= http.StatusBadRequest {
			return fmt.Errorf("status %d: %w", a.Status, errResponseStatus)
		}
		return nil
	})
}
