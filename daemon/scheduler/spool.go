package scheduler

import (
	"fmt"
	"io"
	"sync"
)

// Spool is a writer for log lines that buffers them and writes them in the background. If the output is slow, lines are
// dropped, so that logging never blocks.
type Spool struct {
	out  io.Writer
	wait sync.WaitGroup

	mu        sync.Mutex
	notEmpty  *sync.Cond
	buffer    []byte
	lostLines int
	closed    bool
}

// maxBufferedBytes bounds the buffered lines.
const maxBufferedBytes = 1 << 20

// NewSpool returns a Spool that writes to out until it is closed.
func NewSpool(out io.Writer) *Spool {
	spool := &Spool{out: out}
	spool.notEmpty = sync.NewCond(&spool.mu)
	spool.wait.Go(spool.drain)
	return spool
}

// Write buffers one line. It drops and counts the line if the buffer is full; it never returns an error.
func (spool *Spool) Write(line []byte) (int, error) {
	spool.mu.Lock()
	defer spool.mu.Unlock()
	if len(spool.buffer)+len(line) > maxBufferedBytes {
		spool.lostLines++
		return len(line), nil
	}
	spool.buffer = append(spool.buffer, line...)
	spool.notEmpty.Signal()
	return len(line), nil
}

func (spool *Spool) drain() {
	for {
		spool.mu.Lock()
		for len(spool.buffer) == 0 && !spool.closed {
			spool.notEmpty.Wait()
		}
		lines, lost := spool.buffer, spool.lostLines
		spool.buffer, spool.lostLines = nil, 0
		spool.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		if lost > 0 {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"lines lost\",\"count\":%d}\n", lost)
		}
		if _, err := spool.out.Write(lines); err != nil {
			return // the output is closed
		}
	}
}

// Close writes the buffered lines and stops the background writer.
func (spool *Spool) Close() {
	spool.mu.Lock()
	spool.closed = true
	spool.notEmpty.Broadcast()
	spool.mu.Unlock()
	spool.wait.Wait()
}
