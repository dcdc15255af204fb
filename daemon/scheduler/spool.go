package scheduler

import (
	"fmt"
	"io"
	"sync"
)

// Spool writes lines behind the back of those who log, so that a slow reader costs lines and not time.
type Spool struct {
	out  io.Writer
	wait sync.WaitGroup

	mu     sync.Mutex
	filled *sync.Cond
	lines  []byte
	lost   int
	closed bool
}

// mostSpooled bounds the lines that wait to be written, in bytes.
const mostSpooled = 1 << 20

// NewSpool returns a spool that writes to out until it is closed.
func NewSpool(out io.Writer) *Spool {
	spool := &Spool{out: out}
	spool.filled = sync.NewCond(&spool.mu)
	spool.wait.Go(spool.drain)
	return spool
}

// Write takes one line, or counts it as lost where too much is waiting.
func (spool *Spool) Write(line []byte) (int, error) {
	spool.mu.Lock()
	defer spool.mu.Unlock()
	if len(spool.lines)+len(line) > mostSpooled {
		spool.lost++
		return len(line), nil
	}
	spool.lines = append(spool.lines, line...)
	spool.filled.Signal()
	return len(line), nil
}

func (spool *Spool) drain() {
	for {
		spool.mu.Lock()
		for len(spool.lines) == 0 && !spool.closed {
			spool.filled.Wait()
		}
		lines, lost := spool.lines, spool.lost
		spool.lines, spool.lost = nil, 0
		spool.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		if lost > 0 {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"lines lost\",\"count\":%d}\n", lost)
		}
		if _, err := spool.out.Write(lines); err != nil {
			return // nobody reads the output any more
		}
	}
}

// Close writes what is waiting.
func (spool *Spool) Close() {
	spool.mu.Lock()
	spool.closed = true
	spool.filled.Broadcast()
	spool.mu.Unlock()
	spool.wait.Wait()
}
