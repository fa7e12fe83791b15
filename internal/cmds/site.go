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

// Workspaces, services and failure domains in JSON output.
type (
	workspacesJSON struct {
		Version    int64           `json:"version"`
		Workspaces []workspaceJSON `json:"workspaces"`
	}

	workspaceJSON struct {
		Name          string          `json:"name"`
		Weight        int             `json:"weight"`
		MaxQueuedJobs int             `json:"maxQueuedJobs"`
		Keys          int             `json:"keys"`
		Guarantees    []guaranteeJSON `json:"guarantees"`
	}

	guaranteeJSON struct {
		Name  string         `json:"name"`
		Count int            `json:"count"`
		Shape wire.Shape     `json:"shape"`
		Homes []ident.Domain `json:"homes,omitempty"`
	}

	servicesJSON struct {
		Version  int64         `json:"version"`
		Services []serviceJSON `json:"services"`
	}

	serviceJSON struct {
		Name       string            `json:"name"`
		Workspaces []ident.Workspace `json:"workspaces,omitempty"`
		Timeout    wire.Duration     `json:"timeout"`
		QueueLimit int               `json:"queueLimit"`
		MaxAnswer  int64             `json:"maxAnswer"`
		Endpoints  []wire.Endpoint   `json:"endpoints,omitempty"`
	}

	domainJSON struct {
		Name      string `json:"name"`
		InService bool   `json:"inService"`
		Version   int64  `json:"version"`
	}
)

var errNotConfigured = errors.New("not in the configuration in force")

func newWorkspaceCommand() *command {
	return &command{
		name: "workspace", summary: "list and show the workspaces in force",
		subs: []*command{
			{
				name: "list", run: runWorkspaceList, flags: serverFlags(),
				summary:  "list the workspaces with their guarantees",
				examples: []example{{"baobabquay workspace list", "see which workspaces have guarantees"}},
			},
			{
				name: "show", args: "NAME", run: runWorkspaceShow, flags: serverFlags(),
				summary:  "print one workspace and the homes of its guarantees",
				examples: []example{{"baobabquay workspace show foundryA", "see the homes of its guarantees"}},
			},
		},
	}
}

func newServiceCommand() *command {
	return &command{
		name: "service", summary: "list and show the services in force",
		subs: []*command{
			{
				name: "list", run: runServiceList, flags: serverFlags(),
				summary:  "list the services",
				examples: []example{{"baobabquay service list", "see timeouts and limits"}},
			},
			{
				name: "show", args: "NAME", run: runServiceShow, flags: serverFlags(),
				summary:  "print one service and its endpoints",
				examples: []example{{"baobabquay service show proof", "see which endpoints are leaving"}},
			},
		},
	}
}

func newDomainCommand() *command {
	return &command{
		name: "domain", summary: "take failure domains out of service and bring them back",
		subs: []*command{
			{
				name: "out", args: "NAME", flags: serverFlags(), run: func(ctx context.Context, inv *invocation) error { return runDomainChange(ctx, inv, false) },
				summary: "take a failure domain out of service",
				details: "When the command succeeds, the change is committed, and no task starts in the domain more than 3 s\n" +
					"later. The command can be repeated, also after an unknown outcome.",
				examples: []example{{"baobabquay domain out ub1", "stop starting tasks in ub1"}},
			},
			{
				name: "in", args: "NAME", flags: serverFlags(), run: func(ctx context.Context, inv *invocation) error { return runDomainChange(ctx, inv, true) },
				summary:  "bring a failure domain back into service",
				details:  "The command can be repeated, also after an unknown outcome.",
				examples: []example{{"baobabquay domain in ub1", "allow tasks to start in ub1 again"}},
			},
		},
	}
}

func runWorkspaceList(ctx context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		current, parsed, err := inv.readInForce(ctx, c)
		if err != nil {
			return err
		}
		result := workspacesJSON{current.Version, []workspaceJSON{}}
		t := table{{"WORKSPACE", "WEIGHT", "MAXQUEUEDJOBS", "KEYS", "GUARANTEES"}}
		for _, w := range parsed.Workspaces {
			result.Workspaces = append(result.Workspaces, newWorkspaceJSON(w))
			var guarantees []string
			for _, g := range w.Guarantees {
				guarantees = append(guarantees, fmt.Sprintf("%s=%d*%v", g.Name, g.Count, g.Shape))
			}
			t = append(t, []string{
				string(w.Name), strconv.Itoa(w.Weight), strconv.Itoa(w.MaxQueuedJobs), strconv.Itoa(len(w.Keys)),
				strings.Join(guarantees, ","),
			})
		}
		return inv.print(result, t.String())
	})
}

func runWorkspaceShow(ctx context.Context, inv *invocation) error {
	name, err := inv.singleArg("NAME")
	if err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		_, parsed, err := inv.readInForce(ctx, c)
		if err != nil {
			return err
		}
		w, ok := parsed.Workspace(ident.Workspace(name))
		if !ok {
			return fmt.Errorf("workspace %q: %w", name, errNotConfigured)
		}
		text := fmt.Sprintf("workspace %s\nweight %d\nmaxQueuedJobs %d\nkeys %d\n", w.Name, w.Weight, w.MaxQueuedJobs, len(w.Keys))
		t := table{{"GUARANTEE", "COUNT", "SHAPE", "HOMES"}}
		for _, g := range w.Guarantees {
			t = append(t, []string{g.Name, strconv.Itoa(g.Count), g.Shape.String(), strings.Join(homeNames(g), ",")})
		}
		return inv.print(newWorkspaceJSON(w), text+t.String())
	})
}

func runServiceList(ctx context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		current, parsed, err := inv.readInForce(ctx, c)
		if err != nil {
			return err
		}
		result := servicesJSON{current.Version, []serviceJSON{}}
		t := table{{"SERVICE", "TIMEOUT", "QUEUELIMIT", "MAXANSWER", "WORKSPACES"}}
		for _, s := range parsed.Services {
			result.Services = append(result.Services, newServiceJSON(s))
			t = append(t, []string{
				string(s.Name), s.Timeout.String(), strconv.Itoa(s.QueueLimit), s.MaxAnswer.String(), workspaceNames(s),
			})
		}
		return inv.print(result, t.String())
	})
}

func runServiceShow(ctx context.Context, inv *invocation) error {
	name, err := inv.singleArg("NAME")
	if err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		_, parsed, err := inv.readInForce(ctx, c)
		if err != nil {
			return err
		}
		s, ok := parsed.Service(ident.Service(name))
		if !ok {
			return fmt.Errorf("service %q: %w", name, errNotConfigured)
		}
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		result := newServiceJSON(s)
		t := table{{"ENDPOINT", "DOMAIN", "STATE"}}
		for _, e := range status.Endpoints {
			if e.Service == name {
				result.Endpoints = append(result.Endpoints, e)
				t = append(t, []string{e.Name, e.Domain, endpointState(e)})
			}
		}
		text := fmt.Sprintf("service %s\ntimeout %v\nqueueLimit %d\nmaxAnswer %v\nworkspaces %s\n",
			s.Name, s.Timeout, s.QueueLimit, s.MaxAnswer, workspaceNames(s))
		return inv.print(result, text+t.String())
	})
}

func runDomainChange(ctx context.Context, inv *invocation, inService bool) error {
	name, err := inv.singleArg("NAME")
	if err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		accepted, err := c.SetDomain(ctx, name, inService)
		if err != nil {
			return err
		}
		return inv.print(domainJSON{name, inService, accepted.Version},
			fmt.Sprintf("failure domain %s is %s in version %d\n", name, serviceState(inService), accepted.Version))
	})
}

func newWorkspaceJSON(w config.Workspace) workspaceJSON {
	result := workspaceJSON{string(w.Name), w.Weight, w.MaxQueuedJobs, len(w.Keys), []guaranteeJSON{}}
	for _, g := range w.Guarantees {
		member := g.Shape.Member
		result.Guarantees = append(result.Guarantees, guaranteeJSON{g.Name, g.Count, wire.Shape{
			Members: g.Shape.Members, Accelerators: member.Accelerators, Processors: member.Processors, Memory: int64(member.Memory),
			Adjacency: g.Shape.Adjacency.String(),
		}, g.Homes})
	}
	return result
}

func newServiceJSON(s config.Service) serviceJSON {
	return serviceJSON{
		Name: string(s.Name), Workspaces: s.Workspaces, Timeout: wire.Duration(s.Timeout), QueueLimit: s.QueueLimit,
		MaxAnswer: int64(s.MaxAnswer),
	}
}

// homeNames returns the home of each guaranteed shape of g. A shape without a home
// is listed as config.NoHome.
func homeNames(g config.Guarantee) []string {
	var names []string
	for _, h := range g.Homes {
		if h == "" {
			h = config.NoHome
		}
		names = append(names, string(h))
	}
	return names
}

// workspaceNames returns the workspaces that may use a service. A service without
// a list of workspaces is open to all.
func workspaceNames(s config.Service) string {
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
