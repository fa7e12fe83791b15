package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/baobabquay/baobabquay/pkg/wire"
)

type (
	// Plan lists the processes of a run. The script scripts/demo writes it.
	Plan struct {
		Seed uint64 `json:"seed"`
		// Dir holds the logs and the files "serving" and "faults".
		Dir   string     `json:"dir"`
		Sites []PlanSite `json:"sites"`
	}

	// PlanSite is one installation, called a site.
	PlanSite struct {
		Name string `json:"name"`
		// Config has the paths of the base configuration and its overlays.
		Config []string `json:"config"`
		// Workload is the path of the workload file.
		Workload string `json:"workload"`
		// Platform is the address of the stand-in of the platform. Workers and
		// Endpoints are the control addresses of the processes that stand in
		// for workers and endpoints.
		Platform  netip.AddrPort   `json:"platform"`
		Workers   []netip.AddrPort `json:"workers"`
		Endpoints []netip.AddrPort `json:"endpoints"`
		Instances []PlanInstance   `json:"instances"`
	}

	// PlanInstance is an entry instance. A spare is started later, in place of
	// an instance that was killed.
	PlanInstance struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		// Log is the path of the instance's log.
		Log   string `json:"log"`
		Spare bool   `json:"spare"`
	}

	// Workload is what the workspaces and operators of one site do.
	Workload struct {
		OperatorKey string `json:"operatorKey"`
		// Keys has the API key of each workspace.
		Keys     map[string]string `json:"keys"`
		Requests []RequestGroup    `json:"requests"`
		Jobs     []JobGroup        `json:"jobs"`
		Outages  []OutagePlan      `json:"outages"`
	}

	// RequestGroup is Count equal requests, sent at random times within Over.
	RequestGroup struct {
		Name          string        `json:"name"`
		Workspace     string        `json:"workspace"`
		Service       string        `json:"service"`
		Class         string        `json:"class"`
		NonIdempotent bool          `json:"nonIdempotent"`
		Count         int           `json:"count"`
		Over          wire.Duration `json:"over"`
		Deadline      wire.Duration `json:"deadline"`
		Body          string        `json:"body"`
	}

	// JobGroup is Count equal jobs, submitted at random times within Over.
	JobGroup struct {
		Name       string        `json:"name"`
		Workspace  string        `json:"workspace"`
		Class      string        `json:"class"`
		Guaranteed bool          `json:"guaranteed"`
		Count      int           `json:"count"`
		Over       wire.Duration `json:"over"`
		RunFor     wire.Duration `json:"runFor"`
		Shape      wire.Shape    `json:"shape"`
	}

	// OutagePlan is a failure domain that an operator takes out of service and
	// brings back, at the times Out and Back after the begin of the load.
	OutagePlan struct {
		Domain string        `json:"domain"`
		Out    wire.Duration `json:"out"`
		Back   wire.Duration `json:"back"`
	}
)

// ReadPlan reads the plan at path.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	if err := readJSON(path, &p); err != nil {
		return Plan{}, fmt.Errorf("read plan: %w", err)
	}
	return p, nil
}

// ReadWorkload reads the workload file at path.
func ReadWorkload(path string) (Workload, error) {
	var w Workload
	if err := readJSON(path, &w); err != nil {
		return Workload{}, fmt.Errorf("read workload: %w", err)
	}
	return w, nil
}

// readJSON decodes the file at path into v. Unknown fields are an error, so
// that a misspelt name is not ignored.
func readJSON(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read file: %w", err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

func toDuration(d wire.Duration) time.Duration { return time.Duration(d) }
