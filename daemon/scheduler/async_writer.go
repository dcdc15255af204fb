package scheduler

import (
	"fmt"
	"io"
	"sync"
)

// AsyncWriter is a writer for log lines that buffers them and writes them in the background. If the output is slow,
// lines are dropped, so that logging never blocks.
type AsyncWriter struct {
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

// NewAsyncWriter returns an AsyncWriter that writes to out until it is closed.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	asyncWriter := &AsyncWriter{out: out}
	asyncWriter.notEmpty = sync.NewCond(&asyncWriter.mu)
	asyncWriter.wait.Go(asyncWriter.drain)
	return asyncWriter
}

// Write buffers one line. It drops and counts the line if the buffer is full; it never returns an error.
func (asyncWriter *AsyncWriter) Write(line []byte) (int, error) {
	asyncWriter.mu.Lock()
	defer asyncWriter.mu.Unlock()
	if len(asyncWriter.buffer)+len(line) > maxBufferedBytes {
		asyncWriter.lostLines++
		return len(line), nil
	}
	asyncWriter.buffer = append(asyncWriter.buffer, line...)
	asyncWriter.notEmpty.Signal()
	return len(line), nil
}

func (asyncWriter *AsyncWriter) drain() {
	for {
		asyncWriter.mu.Lock()
		for len(asyncWriter.buffer) == 0 && !asyncWriter.closed {
			asyncWriter.notEmpty.Wait()
		}
		lines, lost := asyncWriter.buffer, asyncWriter.lostLines
		asyncWriter.buffer, asyncWriter.lostLines = nil, 0
		asyncWriter.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		if lost > 0 {
			lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"lines lost\",\"count\":%d}\n", lost)
		}
		if _, err := asyncWriter.out.Write(lines); err != nil {
			return // the output is closed
		}
	}
}

// Close writes the buffered lines and stops the background writer.
func (asyncWriter *AsyncWriter) Close() {
	asyncWriter.mu.Lock()
	asyncWriter.closed = true
	asyncWriter.notEmpty.Broadcast()
	asyncWriter.mu.Unlock()
	asyncWriter.wait.Wait()
}
