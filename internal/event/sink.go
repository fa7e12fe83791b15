package event

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
)

// Sink writes log lines asynchronously, so that code that logs never blocks on
// the output. Lines that arrive faster than the output accepts them are dropped
// and counted.
type Sink struct {
	// Recent keeps the last lines, also those that were dropped.
	Recent    *Recent
	out       io.Writer
	queue     chan []byte
	dropped   atomic.Int64
	writer    sync.WaitGroup
	closeOnce sync.Once
}

// maxQueuedLines is the number of lines that can wait for the output; at 300
// bytes a line they take little over a megabyte.
const maxQueuedLines = 4096

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{Recent: NewRecent(), out: out, queue: make(chan []byte, maxQueuedLines)}
	s.writer.Go(s.run)
	return s
}

// Logger returns a logger that writes JSON lines to the sink.
func (s *Sink) Logger() logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(s, &slog.HandlerOptions{ReplaceAttr: dropLevel}))
}

// dropLevel removes the level, which is the same on all lines.
func dropLevel(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.LevelKey {
		return slog.Attr{}
	}
	return a
}

// Write queues a line. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	s.Recent.Add(queued)
	select {
	case s.queue <- queued:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines until the queue is closed. It writes all waiting
// lines with one call of out.Write.
func (s *Sink) run() {
	for line := range s.queue {
		// Recent shares the backing array of the line, so append must copy it.
		line = line[:len(line):len(line)]
		for n := len(s.queue); n > 0; n-- {
			line = append(line, <-s.queue...)
		}
		if n := s.dropped.Swap(0); n > 0 {
			line = fmt.Appendf(line, `{"msg":"linesDropped","event":%d,"count":%d}`+"\n", LinesDropped, n)
		}
		if _, err := s.out.Write(line); err != nil {
			// A failed write cannot be reported elsewhere, so it is counted as a
			// dropped line.
			s.dropped.Add(1)
		}
	}
}

// Close writes the queued lines and stops the sink. Nothing may be logged after
// Close.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.queue) })
	s.writer.Wait()
}
