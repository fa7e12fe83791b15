package record

import (
	"fmt"
	"time"

	"github.com/baobabquay/baobabquay/internal/config"
	"github.com/baobabquay/baobabquay/internal/ident"
	"github.com/baobabquay/baobabquay/internal/keys"
	"github.com/baobabquay/baobabquay/internal/shape"
)

type (
	configForm struct {
		Version    int64           `json:"version"`
		Site       string          `json:"site"`
		Domains    []domainForm    `json:"domains"`
		Workspaces []workspaceForm `json:"workspaces"`
		Services   []serviceForm   `json:"services"`
		Operators  []operatorForm  `json:"operators"`
		Limits     limitsForm      `json:"limits"`
	}

	headForm struct {
		Version int64 `json:"version"`
	}

	domainForm struct {
		Name      ident.Domain `json:"name"`
		Region    ident.Region `json:"region"`
		InService bool         `json:"inService"`
	}

	workspaceForm struct {
		Name          ident.Workspace `json:"name"`
		Weight        int             `json:"weight"`
		Keys          []string        `json:"keys"`
		Guarantees    []guaranteeForm `json:"guarantees,omitempty"`
		MaxQueuedJobs int             `json:"maxQueuedJobs"`
	}

	guaranteeForm struct {
		Name  string         `json:"name"`
		Shape shapeForm      `json:"shape"`
		Count int            `json:"count"`
		Homes []ident.Domain `json:"homes,omitempty"`
	}

	serviceForm struct {
		Name       ident.Service     `json:"name"`
		Workspaces []ident.Workspace `json:"workspaces,omitempty"`
		Timeout    span              `json:"timeout"`
		QueueLimit int               `json:"queueLimit"`
		MaxAnswer  shape.Bytes       `json:"maxAnswer"`
	}

	operatorForm struct {
		Name string   `json:"name"`
		Keys []string `json:"keys"`
	}

	limitsForm struct {
		MaxBody         shape.Bytes `json:"maxBody"`
		RetryShare      float64     `json:"retryShare"`
		StopDelay       span        `json:"stopDelay"`
		StopLimit       span        `json:"stopLimit"`
		CheckpointLimit span        `json:"checkpointLimit"`
		LinkRate        shape.Bytes `json:"linkRate"`
		LinkBulkShare   float64     `json:"linkBulkShare"`
		LinkBulkSize    shape.Bytes `json:"linkBulkSize"`
	}
)

// EncodeHead returns the value of the row that names the committed version. It
// is written with each configuration, so that an unchanged configuration costs
// one small read.
func EncodeHead(version int64) ([]byte, error) {
	return encode("configuration head", headForm{version})
}

// DecodeHead returns the version that the row names.
func DecodeHead(b []byte) (int64, error) {
	var f headForm
	err := decode("configuration head", b, &f)
	return f.Version, err
}

// EncodeConfig returns the row value of c.
func EncodeConfig(c *config.Config) ([]byte, error) {
	f := configForm{Version: c.Version, Site: c.Site, Limits: limitsForm{
		MaxBody: c.Limits.MaxBody, RetryShare: c.Limits.RetryShare,
		StopDelay: span(c.Limits.StopDelay), StopLimit: span(c.Limits.StopLimit),
		CheckpointLimit: span(c.Limits.CheckpointLimit),
		LinkRate:        c.Limits.LinkRate, LinkBulkShare: c.Limits.LinkBulkShare, LinkBulkSize: c.Limits.LinkBulkSize,
	}}
	for _, d := range c.Domains {
		f.Domains = append(f.Domains, domainForm(d))
	}
	for _, w := range c.Workspaces {
		f.Workspaces = append(f.Workspaces, workspaceToForm(w))
	}
	for _, s := range c.Services {
		f.Services = append(f.Services, serviceForm{
			Name: s.Name, Workspaces: s.Workspaces, Timeout: span(s.Timeout),
			QueueLimit: s.QueueLimit, MaxAnswer: s.MaxAnswer,
		})
	}
	for _, o := range c.Operators {
		f.Operators = append(f.Operators, operatorForm{Name: o.Name, Keys: hashesToText(o.Keys)})
	}
	return encode("configuration", f)
}

// DecodeConfig returns the configuration of a row value.
func DecodeConfig(b []byte) (*config.Config, error) {
	// A row that an earlier version wrote has no limits of the link.
	initial := config.DefaultLimits()
	f := configForm{Limits: limitsForm{
		LinkRate: initial.LinkRate, LinkBulkShare: initial.LinkBulkShare, LinkBulkSize: initial.LinkBulkSize,
	}}
	if err := decode("configuration", b, &f); err != nil {
		return nil, err
	}
	c := &config.Config{Version: f.Version, Site: f.Site, Limits: config.Limits{
		MaxBody: f.Limits.MaxBody, RetryShare: f.Limits.RetryShare,
		StopDelay: time.Duration(f.Limits.StopDelay), StopLimit: time.Duration(f.Limits.StopLimit),
		CheckpointLimit: time.Duration(f.Limits.CheckpointLimit),
		LinkRate:        f.Limits.LinkRate, LinkBulkShare: f.Limits.LinkBulkShare, LinkBulkSize: f.Limits.LinkBulkSize,
	}}
	for _, d := range f.Domains {
		c.Domains = append(c.Domains, config.Domain(d))
	}
	for _, w := range f.Workspaces {
		ws, err := workspaceFromForm(w)
		if err != nil {
			return nil, fmt.Errorf("decode workspace %s: %w", w.Name, err)
		}
		c.Workspaces = append(c.Workspaces, ws)
	}
	for _, s := range f.Services {
		c.Services = append(c.Services, config.Service{
			Name: s.Name, Workspaces: s.Workspaces, Timeout: time.Duration(s.Timeout),
			QueueLimit: s.QueueLimit, MaxAnswer: s.MaxAnswer,
		})
	}
	for _, o := range f.Operators {
		hashes, err := hashesFromText(o.Keys)
		if err != nil {
			return nil, fmt.Errorf("decode operator %s: %w", o.Name, err)
		}
		c.Operators = append(c.Operators, config.Operator{Name: o.Name, Keys: hashes})
	}
	return c, nil
}

func workspaceToForm(w config.Workspace) workspaceForm {
	f := workspaceForm{Name: w.Name, Weight: w.Weight, Keys: hashesToText(w.Keys), MaxQueuedJobs: w.MaxQueuedJobs}
	for _, g := range w.Guarantees {
		f.Guarantees = append(f.Guarantees, guaranteeForm{
			Name: g.Name, Shape: shapeToForm(g.Shape), Count: g.Count, Homes: g.Homes,
		})
	}
	return f
}

func workspaceFromForm(f workspaceForm) (config.Workspace, error) {
	hashes, err := hashesFromText(f.Keys)
	if err != nil {
		return config.Workspace{}, err
	}
	w := config.Workspace{Name: f.Name, Weight: f.Weight, Keys: hashes, MaxQueuedJobs: f.MaxQueuedJobs}
	for _, g := range f.Guarantees {
		s, err := shapeFromForm(g.Shape)
		if err != nil {
			return config.Workspace{}, fmt.Errorf("decode guarantee %s: %w", g.Name, err)
		}
		w.Guarantees = append(w.Guarantees, config.Guarantee{Name: g.Name, Shape: s, Count: g.Count, Homes: g.Homes})
	}
	return w, nil
}

func hashesToText(hashes []keys.Hash) []string {
	var texts []string
	for _, h := range hashes {
		texts = append(texts, h.String())
	}
	return texts
}

func hashesFromText(texts []string) ([]keys.Hash, error) {
	var hashes []keys.Hash
	for _, t := range texts {
		h, err := keys.ParseHash(t)
		if err != nil {
			return nil, fmt.Errorf("decode key: %w", err)
		}
		hashes = append(hashes, h)
	}
	return hashes, nil
}
