package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

// The forms of workspaces and services in JSON output.
type (
	workspacesForm struct {
		Version    int64           `json:"version"`
		Workspaces []workspaceForm `json:"workspaces"`
	}

	workspaceForm struct {
		Name          string          `json:"name"`
		Weight        int             `json:"weight"`
		MaxQueuedJobs int             `json:"maxQueuedJobs"`
		Keys          int             `json:"keys"`
		Guarantees    []guaranteeForm `json:"guarantees"`
	}

	guaranteeForm struct {
		Name  string         `json:"name"`
		Count int            `json:"count"`
		Shape wire.Shape     `json:"shape"`
		Homes []ident.Domain `json:"homes,omitempty"`
	}

	servicesForm struct {
		Version  int64         `json:"version"`
		Services []serviceForm `json:"services"`
	}

	serviceForm struct {
		Name       string            `json:"name"`
		Workspaces []ident.Workspace `json:"workspaces,omitempty"`
		Timeout    wire.Duration     `json:"timeout"`
		QueueLimit int               `json:"queueLimit"`
		MaxAnswer  int64             `json:"maxAnswer"`
		Endpoints  []wire.Endpoint   `json:"endpoints,omitempty"`
	}

	domainForm struct {
		Name      string `json:"name"`
		InService bool   `json:"inService"`
		Version   int64  `json:"version"`
	}
)

var errNoSuch = errors.New("not in the configuration in force")

func newWorkspace() *command {
	return &command{
		name: "workspace", summary: "list and show the workspaces in force",
		subs: []*command{
			{
				name: "list", run: runWorkspaces, flags: serverFlags(),
				summary:  "list the workspaces with their guarantees",
				examples: []example{{"baobabquay workspace list", "see who holds guarantees"}},
			},
			{
				name: "show", args: "NAME", run: runWorkspace, flags: serverFlags(),
				summary:  "print one workspace and the homes of its guarantees",
				examples: []example{{"baobabquay workspace show foundryA", "see where its guarantees are kept"}},
			},
		},
	}
}

func newService() *command {
	return &command{
		name: "service", summary: "list and show the services in force",
		subs: []*command{
			{
				name: "list", run: runServices, flags: serverFlags(),
				summary:  "list the services",
				examples: []example{{"baobabquay service list", "see timeouts and limits"}},
			},
			{
				name: "show", args: "NAME", run: runService, flags: serverFlags(),
				summary:  "print one service and its endpoints",
				examples: []example{{"baobabquay service show proof", "see which endpoints leave"}},
			},
		},
	}
}

func newDomain() *command {
	return &command{
		name: "domain", summary: "take failure domains out of service and bring them back",
		subs: []*command{
			{
				name: "out", args: "NAME", flags: serverFlags(), run: func(ctx context.Context, c *call) error { return runDomain(ctx, c, false) },
				summary: "take a failure domain out of service",
				details: "When the command is done, the change is committed, and no task starts in the domain more than 3 s\n" +
					"later. The command can be repeated, also after an unknown outcome.",
				examples: []example{{"baobabquay domain out ub1", "stop starts in ub1"}},
			},
			{
				name: "in", args: "NAME", flags: serverFlags(), run: func(ctx context.Context, c *call) error { return runDomain(ctx, c, true) },
				summary:  "bring a failure domain back into service",
				details:  "The command can be repeated, also after an unknown outcome.",
				examples: []example{{"baobabquay domain in ub1", "allow starts in ub1 again"}},
			},
		},
	}
}

func runWorkspaces(ctx context.Context, c *call) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		present, parsed, err := c.inForce(ctx, cl)
		if err != nil {
			return err
		}
		f := workspacesForm{present.Version, []workspaceForm{}}
		t := table{{"WORKSPACE", "WEIGHT", "MAXQUEUEDJOBS", "KEYS", "GUARANTEES"}}
		for _, w := range parsed.Workspaces {
			f.Workspaces = append(f.Workspaces, workspaceFormOf(w))
			var guarantees []string
			for _, g := range w.Guarantees {
				guarantees = append(guarantees, fmt.Sprintf("%s=%d*%v", g.Name, g.Count, g.Shape))
			}
			t = append(t, []string{
				string(w.Name), strconv.Itoa(w.Weight), strconv.Itoa(w.MaxQueuedJobs), strconv.Itoa(len(w.Keys)),
				strings.Join(guarantees, ","),
			})
		}
		return c.print(f, t.String())
	})
}

func runWorkspace(ctx context.Context, c *call) error {
	name, err := c.oneArg("NAME")
	if err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		_, parsed, err := c.inForce(ctx, cl)
		if err != nil {
			return err
		}
		w, ok := parsed.Workspace(ident.Workspace(name))
		if !ok {
			return fmt.Errorf("workspace %q: %w", name, errNoSuch)
		}
		text := fmt.Sprintf("workspace %s\nweight %d\nmaxQueuedJobs %d\nkeys %d\n", w.Name, w.Weight, w.MaxQueuedJobs, len(w.Keys))
		t := table{{"GUARANTEE", "COUNT", "SHAPE", "HOMES"}}
		for _, g := range w.Guarantees {
			t = append(t, []string{g.Name, strconv.Itoa(g.Count), g.Shape.String(), strings.Join(homesOf(g), ",")})
		}
		return c.print(workspaceFormOf(w), text+t.String())
	})
}

func runServices(ctx context.Context, c *call) error {
	if err := c.refuseArgs(); err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		present, parsed, err := c.inForce(ctx, cl)
		if err != nil {
			return err
		}
		f := servicesForm{present.Version, []serviceForm{}}
		t := table{{"SERVICE", "TIMEOUT", "QUEUELIMIT", "MAXANSWER", "WORKSPACES"}}
		for _, s := range parsed.Services {
			f.Services = append(f.Services, serviceFormOf(s))
			t = append(t, []string{
				string(s.Name), s.Timeout.String(), strconv.Itoa(s.QueueLimit), s.MaxAnswer.String(), namesOf(s),
			})
		}
		return c.print(f, t.String())
	})
}

func runService(ctx context.Context, c *call) error {
	name, err := c.oneArg("NAME")
	if err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		_, parsed, err := c.inForce(ctx, cl)
		if err != nil {
			return err
		}
		s, ok := parsed.Service(ident.Service(name))
		if !ok {
			return fmt.Errorf("service %q: %w", name, errNoSuch)
		}
		status, err := cl.Status(ctx)
		if err != nil {
			return err
		}
		f := serviceFormOf(s)
		t := table{{"ENDPOINT", "DOMAIN", "STATE"}}
		for _, e := range status.Endpoints {
			if e.Service == name {
				f.Endpoints = append(f.Endpoints, e)
				t = append(t, []string{e.Name, e.Domain, endpointState(e)})
			}
		}
		text := fmt.Sprintf("service %s\ntimeout %v\nqueueLimit %d\nmaxAnswer %v\nworkspaces %s\n",
			s.Name, s.Timeout, s.QueueLimit, s.MaxAnswer, namesOf(s))
		return c.print(f, text+t.String())
	})
}

func runDomain(ctx context.Context, c *call, inService bool) error {
	name, err := c.oneArg("NAME")
	if err != nil {
		return err
	}
	return c.online(ctx, defaultTimeout, func(ctx context.Context, cl *client.Client) error {
		accepted, err := cl.SetDomain(ctx, name, inService)
		if err != nil {
			return err
		}
		return c.print(domainForm{name, inService, accepted.Version},
			fmt.Sprintf("failure domain %s is %s in version %d\n", name, serviceState(inService), accepted.Version))
	})
}

func workspaceFormOf(w config.Workspace) workspaceForm {
	f := workspaceForm{string(w.Name), w.Weight, w.MaxQueuedJobs, len(w.Keys), []guaranteeForm{}}
	for _, g := range w.Guarantees {
		m := g.Shape.Member
		f.Guarantees = append(f.Guarantees, guaranteeForm{g.Name, g.Count, wire.Shape{
			Members: g.Shape.Members, Accelerators: m.Accelerators, Processors: m.Processors, Memory: int64(m.Memory),
			Adjacency: g.Shape.Adjacency.String(),
		}, g.Homes})
	}
	return f
}

func serviceFormOf(s config.Service) serviceForm {
	return serviceForm{
		Name: string(s.Name), Workspaces: s.Workspaces, Timeout: wire.Duration(s.Timeout), QueueLimit: s.QueueLimit,
		MaxAnswer: int64(s.MaxAnswer),
	}
}

func homesOf(g config.Guarantee) []string {
	var names []string
	for _, h := range g.Homes {
		if h == "" {
			h = config.NoHome
		}
		names = append(names, string(h))
	}
	return names
}

func namesOf(s config.Service) string {
	var names []string
	for _, w := range s.Workspaces {
		names = append(names, string(w))
	}
	if len(names) == 0 {
		return "(all)"
	}
	return strings.Join(names, ",")
}

func endpointState(e wire.Endpoint) string {
	if e.Leaving {
		return "leaving"
	}
	return "live"
}

func serviceState(in bool) string {
	if in {
		return "in service"
	}
	return "out of service"
}
