package cmds

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/baobabquay/baobabquay/pkg/client"
	"github.com/baobabquay/baobabquay/pkg/wire"
)

func newStatusCommand() *command {
	return &command{
		name: "status", run: runStatus, flags: serverFlags(),
		summary: "print the state of the site as known to one instance",
		details: "The output shows the version in force at each instance, the owner, epoch and capacity of each failure\n" +
			"domain, the endpoints of each service, and the guarantees that are not met, with the reason.",
		examples: []example{
			{"baobabquay status", "check that all instances have the same version"},
			{"baobabquay status --output json", "monitor the site with another program"},
		},
	}
}

func runStatus(ctx context.Context, inv *invocation) error {
	if err := inv.rejectArgs(); err != nil {
		return err
	}
	return inv.withClient(ctx, defaultTimeout, func(ctx context.Context, c *client.Client) error {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		return inv.print(s, statusText(s))
	})
}

func statusText(s wire.Status) string {
	parts := []string{
		fmt.Sprintf("version %d in force at %s\n", s.Version, s.Instance),
		instancesTable(s.Instances).String(), domainsTable(s.Domains).String(), endpointsTable(s.Endpoints).String(),
		unmetGuaranteesText(s.Domains),
	}
	return strings.Join(parts, "\n")
}

func instancesTable(instances []wire.Instance) table {
	t := table{{"INSTANCE", "VERSION", "READY", "DOMAIN", "REGION", "ADDRESS"}}
	for _, i := range instances {
		t = append(t, []string{
			i.Name, strconv.FormatInt(i.Version, 10), strconv.FormatBool(i.Ready), i.Domain, i.Region, i.Address.String(),
		})
	}
	return t
}

func domainsTable(domains []wire.Domain) table {
	t := table{{
		"DOMAIN", "REGION", "INSERVICE", "OWNER", "EPOCH", "WORKERS", "ACCELERATORS", "FREE", "WAITING", "RUNNING",
	}}
	for _, d := range domains {
		t = append(t, []string{
			d.Name, d.Region, strconv.FormatBool(d.InService), d.Owner, strconv.FormatInt(d.Epoch, 10),
			strconv.Itoa(d.Workers), strconv.Itoa(d.Accelerators), strconv.Itoa(d.FreeAccelerators),
			strconv.Itoa(d.WaitingJobs), strconv.Itoa(d.RunningJobs),
		})
	}
	return t
}

// endpointsTable counts the endpoints by service and failure domain.
func endpointsTable(endpoints []wire.Endpoint) table {
	type group struct{ service, domain string }
	live, leaving := map[group]int{}, map[group]int{}
	var groups []group
	for _, e := range endpoints {
		g := group{e.Service, e.Domain}
		if live[g]+leaving[g] == 0 {
			groups = append(groups, g)
		}
		if e.Leaving {
			leaving[g]++
		} else {
			live[g]++
		}
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	t := table{{"SERVICE", "DOMAIN", "LIVE", "LEAVING"}}
	for _, g := range groups {
		t = append(t, []string{g.service, g.domain, strconv.Itoa(live[g]), strconv.Itoa(leaving[g])})
	}
	return t
}

// unmetGuaranteesText lists the guarantees that are not met. Only the owner of a
// domain knows them, so the guarantees of a domain without an owner are reported
// as not known.
func unmetGuaranteesText(domains []wire.Domain) string {
	var b strings.Builder
	for _, d := range domains {
		for _, u := range d.Unmet {
			fmt.Fprintf(&b, "guarantee not met in %s: %s\n", d.Name, u)
		}
		if d.Owner == "" {
			fmt.Fprintf(&b, "guarantees not known in %s: it has no owner\n", d.Name)
		}
	}
	if b.Len() == 0 {
		return "guarantees: no owner reports one that is not met\n"
	}
	return b.String()
}
