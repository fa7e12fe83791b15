package inifmt

import (
	"strings"

	"github.com/baobabquay/baobabquay/internal/config"
)

// writer renders values as INI.
type writer struct {
	b    strings.Builder
	last config.Path
}

// Write returns c as one INI file with every value, in the order of c. Reading
// it back gives an equal configuration, provided that c.Check finds no problem.
func Write(c *config.Config) string {
	var w writer
	for _, v := range c.Values() {
		w.write(v, "")
	}
	return w.b.String()
}

// WriteOrigins returns an INI file like Write, with a comment after each value
// that tells the file and line it comes from.
func WriteOrigins(origins []Origin) string {
	var w writer
	for _, o := range origins {
		origin := "default"
		if o.Place.File != "" {
			origin = o.Place.String()
		}
		w.write(o.Value, origin)
	}
	return w.b.String()
}

func (w *writer) write(v config.Value, comment string) {
	if part := v.Path.Part(); part != w.last {
		if w.b.Len() > 0 {
			w.b.WriteByte('\n')
		}
		w.b.WriteString("[" + header(part) + "]\n")
		w.last = part
	}
	text := v.Text
	if comment != "" {
		// A comment is not recognised directly after the equals sign.
		if text == "" {
			text = `""`
		}
		text += " ; " + comment
	}
	w.b.WriteString(strings.TrimRight(string(v.Path.Field)+" = "+text, " ") + "\n")
}
