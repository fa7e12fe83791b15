package event

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// Sink writes log lines without ever holding up the code that logs. Lines that
// come faster than the output takes them are dropped and counted.
type Sink struct {
	// Recent keeps the last lines, also those that were dropped.
	Recent  *Recent
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	once    sync.Once
}

// sinkLines is the number of lines that wait for the output; at 300 bytes a
// line they take little over a megabyte.
const sinkLines = 4096

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{Recent: NewRecent(), out: out, lines: make(chan []byte, sinkLines)}
	s.done.Go(s.run)
	return s
}

// Logger returns a logger of JSON lines on the sink.
func (s *Sink) Logger() logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(s, &slog.HandlerOptions{ReplaceAttr: shorten}))
}

// shorten leaves out the level, which is the same on all lines.
func shorten(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.LevelKey {
		return slog.Attr{}
	}
	return a
}

// Write queues a line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	s.Recent.Add(kept)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// run writes what waits, several lines in one call.
func (s *Sink) run() {
	for line := range s.lines {
		// The line itself is kept elsewhere and must not grow in place.
		line = line[:len(line):len(line)]
		for n := len(s.lines); n > 0; n-- {
			line = append(line, <-s.lines...)
		}
		if n := s.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, `{"msg":"linesDropped","event":%d,"count":%d}`+"\n", LinesDropped, n)
		}
		if _, err := s.out.Write(line); err != nil {
			// There is no other place to tell it.
			s.dropped.Add(1)
		}
	}
}

// Close writes what waits and ends the sink. Nothing may be logged after it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	s.done.Wait()
}
