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
	configJSON struct {
		Version    int64           `json:"version"`
		Site       string          `json:"site"`
		Domains    []domainJSON    `json:"domains"`
		Workspaces []workspaceJSON `json:"workspaces"`
		Services   []serviceJSON   `json:"services"`
		Operators  []operatorJSON  `json:"operators"`
		Limits     limitsJSON      `json:"limits"`
	}

	headJSON struct {
		Version int64 `json:"version"`
	}

	domainJSON struct {
		Name      ident.Domain `json:"name"`
		Region    ident.Region `json:"region"`
		InService bool         `json:"inService"`
	}

	workspaceJSON struct {
		Name          ident.Workspace `json:"name"`
		Weight        int             `json:"weight"`
		Keys          []string        `json:"keys"`
		Guarantees    []guaranteeJSON `json:"guarantees,omitempty"`
		MaxQueuedJobs int             `json:"maxQueuedJobs"`
	}

	guaranteeJSON struct {
		Name  string         `json:"name"`
		Shape shapeJSON      `json:"shape"`
		Count int            `json:"count"`
		Homes []ident.Domain `json:"homes,omitempty"`
	}

	serviceJSON struct {
		Name       ident.Service     `json:"name"`
		Workspaces []ident.Workspace `json:"workspaces,omitempty"`
		Timeout    duration          `json:"timeout"`
		QueueLimit int               `json:"queueLimit"`
		MaxAnswer  shape.Bytes       `json:"maxAnswer"`
	}

	operatorJSON struct {
		Name string   `json:"name"`
		Keys []string `json:"keys"`
	}

	limitsJSON struct {
		MaxBody         shape.Bytes `json:"maxBody"`
		RetryShare      float64     `json:"retryShare"`
		StopDelay       duration    `json:"stopDelay"`
		StopLimit       duration    `json:"stopLimit"`
		CheckpointLimit duration    `json:"checkpointLimit"`
		LinkRate        shape.Bytes `json:"linkRate"`
		LinkBulkShare   float64     `json:"linkBulkShare"`
		LinkBulkSize    shape.Bytes `json:"linkBulkSize"`
	}
)

// EncodeHead returns the value of the row at ConfigHeadKey, which holds the
// committed configuration version. The row is written with each configuration,
// so that a reader detects an unchanged configuration with one small read.
func EncodeHead(version int64) ([]byte, error) {
	return encode("configuration head", headJSON{version})
}

// DecodeHead returns the configuration version in the value of the row at
// ConfigHeadKey.
func DecodeHead(b []byte) (int64, error) {
	var v headJSON
	err := decode("configuration head", b, &v)
	return v.Version, err
}

// EncodeConfig returns the row value of c.
func EncodeConfig(c *config.Config) ([]byte, error) {
	v := configJSON{Version: c.Version, Site: c.Site, Limits: limitsJSON{
		MaxBody: c.Limits.MaxBody, RetryShare: c.Limits.RetryShare,
		StopDelay: duration(c.Limits.StopDelay), StopLimit: duration(c.Limits.StopLimit),
		CheckpointLimit: duration(c.Limits.CheckpointLimit),
		LinkRate:        c.Limits.LinkRate, LinkBulkShare: c.Limits.LinkBulkShare, LinkBulkSize: c.Limits.LinkBulkSize,
	}}
	for _, d := range c.Domains {
		v.Domains = append(v.Domains, domainJSON(d))
	}
	for _, w := range c.Workspaces {
		v.Workspaces = append(v.Workspaces, workspaceToJSON(w))
	}
	for _, s := range c.Services {
		v.Services = append(v.Services, serviceJSON{
			Name: s.Name, Workspaces: s.Workspaces, Timeout: duration(s.Timeout),
			QueueLimit: s.QueueLimit, MaxAnswer: s.MaxAnswer,
		})
	}
	for _, o := range c.Operators {
		v.Operators = append(v.Operators, operatorJSON{Name: o.Name, Keys: formatHashes(o.Keys)})
	}
	return encode("configuration", v)
}

// DecodeConfig returns the configuration in a row value.
func DecodeConfig(b []byte) (*config.Config, error) {
	// Rows written by earlier versions of the program have no link limits, so
	// decoding starts from the defaults.
	defaults := config.DefaultLimits()
	v := configJSON{Limits: limitsJSON{
		LinkRate: defaults.LinkRate, LinkBulkShare: defaults.LinkBulkShare, LinkBulkSize: defaults.LinkBulkSize,
	}}
	if err := decode("configuration", b, &v); err != nil {
		return nil, err
	}
	c := &config.Config{Version: v.Version, Site: v.Site, Limits: config.Limits{
		MaxBody: v.Limits.MaxBody, RetryShare: v.Limits.RetryShare,
		StopDelay: time.Duration(v.Limits.StopDelay), StopLimit: time.Duration(v.Limits.StopLimit),
		CheckpointLimit: time.Duration(v.Limits.CheckpointLimit),
		LinkRate:        v.Limits.LinkRate, LinkBulkShare: v.Limits.LinkBulkShare, LinkBulkSize: v.Limits.LinkBulkSize,
	}}
	for _, d := range v.Domains {
		c.Domains = append(c.Domains, config.Domain(d))
	}
	for _, w := range v.Workspaces {
		ws, err := workspaceFromJSON(w)
		if err != nil {
			return nil, fmt.Errorf("decode workspace %s: %w", w.Name, err)
		}
		c.Workspaces = append(c.Workspaces, ws)
	}
	for _, s := range v.Services {
		c.Services = append(c.Services, config.Service{
			Name: s.Name, Workspaces: s.Workspaces, Timeout: time.Duration(s.Timeout),
			QueueLimit: s.QueueLimit, MaxAnswer: s.MaxAnswer,
		})
	}
	for _, o := range v.Operators {
		hashes, err := parseHashes(o.Keys)
		if err != nil {
			return nil, fmt.Errorf("decode operator %s: %w", o.Name, err)
		}
		c.Operators = append(c.Operators, config.Operator{Name: o.Name, Keys: hashes})
	}
	return c, nil
}

func workspaceToJSON(w config.Workspace) workspaceJSON {
	v := workspaceJSON{Name: w.Name, Weight: w.Weight, Keys: formatHashes(w.Keys), MaxQueuedJobs: w.MaxQueuedJobs}
	for _, g := range w.Guarantees {
		v.Guarantees = append(v.Guarantees, guaranteeJSON{
			Name: g.Name, Shape: shapeToJSON(g.Shape), Count: g.Count, Homes: g.Homes,
		})
	}
	return v
}

func workspaceFromJSON(v workspaceJSON) (config.Workspace, error) {
	hashes, err := parseHashes(v.Keys)
	if err != nil {
		return config.Workspace{}, err
	}
	w := config.Workspace{Name: v.Name, Weight: v.Weight, Keys: hashes, MaxQueuedJobs: v.MaxQueuedJobs}
	for _, g := range v.Guarantees {
		s, err := shapeFromJSON(g.Shape)
		if err != nil {
			return config.Workspace{}, fmt.Errorf("decode guarantee %s: %w", g.Name, err)
		}
		w.Guarantees = append(w.Guarantees, config.Guarantee{Name: g.Name, Shape: s, Count: g.Count, Homes: g.Homes})
	}
	return w, nil
}

func formatHashes(hashes []keys.Hash) []string {
	var texts []string
	for _, h := range hashes {
		texts = append(texts, h.String())
	}
	return texts
}

func parseHashes(texts []string) ([]keys.Hash, error) {
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
