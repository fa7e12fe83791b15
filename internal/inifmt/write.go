package inifmt

import (
	"strings"

	"github.com/baobabquay/baobabquay/internal/config"
)

// writer renders values as an INI file.
type writer struct {
	b strings.Builder
	// lastPart is the part whose section was written last.
	lastPart config.Path
}

// Write returns c as one INI file with all values in the order of c. Read of
// this file returns an equal configuration, provided that c.Check reports no
// problem.
func Write(c *config.Config) string {
	var w writer
	for _, v := range c.Values() {
		w.write(v, "")
	}
	return w.b.String()
}

// WriteOrigins returns an INI file like Write, with a comment after each value
// that names the file and line of the value, or "default".
func WriteOrigins(origins []Origin) string {
	var w writer
	for _, o := range origins {
		origin := "default"
		if o.Position.File != "" {
			origin = o.Position.String()
		}
		w.write(o.Value, origin)
	}
	return w.b.String()
}

func (w *writer) write(v config.Value, comment string) {
	if part := v.Path.Part(); part != w.lastPart {
		if w.b.Len() > 0 {
			w.b.WriteByte('\n')
		}
		w.b.WriteString("[" + header(part) + "]\n")
		w.lastPart = part
	}
	text := v.Text
	if comment != "" {
		// The INI library does not recognise a comment directly after the
		// equals sign.
		if text == "" {
			text = `""`
		}
		text += " ; " + comment
	}
	w.b.WriteString(strings.TrimRight(string(v.Path.Field)+" = "+text, " ") + "\n")
}
