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
	// requestOptions are the flags of request.
	requestOptions struct {
		id            string
		nonIdempotent bool
		class         string
		contentType   string
	}

	// answerForm is the answer of an endpoint.
	answerForm struct {
		RequestID   string `json:"requestId"`
		Status      int    `json:"status"`
		ContentType string `json:"contentType"`
		Body        []byte `json:"body"`
	}
)

var errAnswer = errors.New("the service answered with an error")

func newRequest() *command {
	return &command{
		name: "request", args: "SERVICE", run: runRequest,
		summary: "send the standard input to a service and print the body of the answer",
		details: "The time of --timeout is the deadline of the request; without it the timeout of the service applies.\n" +
			"The exit code is 1 if the status of the answer is 400 or above. A non-idempotent request runs at most\n" +
			"once; after an unknown outcome, repeat it with the identifier that the error names to learn what\n" +
			"became of it.",
		flags: append(serverFlags(),
			flag{
				long: "request-id", arg: "ID", summary: "identifier of the request",
				text: func(o *options) *string { return &o.request.id },
			},
			flag{
				long: "non-idempotent", short: "n", summary: "run the request at most once",
				truth: func(o *options) *bool { return &o.request.nonIdempotent },
			},
			flag{
				long: "class", short: "c", arg: "CLASS", summary: "urgent, normal or background (default normal)",
				text: func(o *options) *string { return &o.request.class },
			},
			flag{
				long: "content-type", arg: "TYPE", summary: "media type of the body",
				text: func(o *options) *string { return &o.request.contentType },
			},
		),
		examples: []example{
			{"baobabquay request check < font.otf", "check a font"},
			{"baobabquay request stamp --non-idempotent --request-id licence-204 < licence.json", "issue a licence once"},
		},
	}
}

func runRequest(ctx context.Context, c *call) error {
	service, err := c.oneArg("SERVICE")
	if err != nil {
		return err
	}
	body, err := io.ReadAll(c.env.In)
	if err != nil {
		return fmt.Errorf("read standard input: %w", err)
	}
	o := c.options.request
	return c.online(ctx, 0, func(ctx context.Context, cl *client.Client) error {
		a, err := cl.Request(ctx, client.Request{
			Service: service, ID: o.id, NonIdempotent: o.nonIdempotent, Class: o.class, ContentType: o.contentType, Body: body,
		})
		if err != nil {
			return withRequestID(err)
		}
		if err := c.print(answerForm{a.RequestID, a.Status, a.ContentType, a.Body}, string(a.Body)); err != nil {
			return err
		}
		if a.Status >= http.StatusBadRequest {
			return fmt.Errorf("status %d: %w", a.Status, errAnswer)
		}
		return nil
	})
}
