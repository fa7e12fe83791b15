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
	// Plan tells what runs where. The script writes it.
	Plan struct {
		Seed uint64 `json:"seed"`
		// Dir holds the logs and the files serving and faults.
		Dir   string     `json:"dir"`
		Sites []PlanSite `json:"sites"`
	}

	// PlanSite is one installation.
	PlanSite struct {
		Name string `json:"name"`
		// Config has the paths of the base and of the overlays.
		Config    []string         `json:"config"`
		Workload  string           `json:"workload"`
		Platform  netip.AddrPort   `json:"platform"`
		Workers   []netip.AddrPort `json:"workers"`
		Endpoints []netip.AddrPort `json:"endpoints"`
		Instances []PlanInstance   `json:"instances"`
	}

	// PlanInstance is an entry instance. A spare one is started later, in
	// place of one that was killed.
	PlanInstance struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		Log     string         `json:"log"`
		Spare   bool           `json:"spare"`
	}

	// Workload is what the workspaces and operators of one site do.
	Workload struct {
		OperatorKey string            `json:"operatorKey"`
		Keys        map[string]string `json:"keys"`
		Requests    []RequestGroup    `json:"requests"`
		Jobs        []JobGroup        `json:"jobs"`
		Outages     []OutagePlan      `json:"outages"`
	}

	// RequestGroup is a number of equal requests, spread over a time.
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

	// JobGroup is a number of equal jobs, spread over a time.
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

	// OutagePlan is a failure domain that is out of service for a time,
	// measured from the begin of the load.
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

// readJSON refuses unknown names, so that a misspelt one is not ignored.
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

func span(d wire.Duration) time.Duration { return time.Duration(d) }
