package soaker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// LinkMode is what a link does with the bytes that pass through it.
type LinkMode int

// The modes of a link. Bytes that a cut holds back arrive when it ends, as TCP sends them again; what a link
// discards is lost, and its connections are reset when it is opened.
const (
	Open          LinkMode = iota
	Delayed                // each chunk waits for the delay
	Refusing               // connections are reset
	CutToServer            // bytes to the server are held back
	CutFromServer          // bytes from the server are held back
	CutBoth                // bytes in both directions are held back
	Discarding             // bytes in both directions are discarded
	linkModes              // number of modes
)

// String returns the name of the mode.
func (linkMode LinkMode) String() string {
	return [...]string{"open", "delayed", "refusing", "cutToServer", "cutFromServer", "cutBoth", "discarding"}[linkMode]
}

// link is a TCP proxy for the connections of one source to one server.
type link struct {
	target   string
	rewrite  bool // readdress the addresses in the messages
	source   int
	number   int // of the server, which is the source in what it receives
	listener net.Listener
	wait     sync.WaitGroup

	mu      sync.Mutex
	mode    LinkMode
	delay   time.Duration
	changed chan struct{} // closed and replaced when the mode changes
	flows   map[*flow]bool
	closed  bool
}

// flow is one connection through a link.
type flow struct {
	client, server net.Conn
	discarded      bool // bytes were discarded
	ended          chan struct{}
	once           sync.Once
}

const chunkBytes = 32 << 10

// listen returns a link that accepts the connections of a source to an endpoint.
func listen(source int, target endpoint, port int) (*link, error) {
	listener, err := net.Listen("tcp", target.address(source, port))
	if err != nil {
		return nil, fmt.Errorf("listen for link %d to %v: %w", source, target, err)
	}
	link := &link{
		target: target.address(listening, port), rewrite: target.group == peerGroup, source: source, number: target.number,
		listener: listener, changed: make(chan struct{}), flows: map[*flow]bool{},
	}
	link.wait.Go(link.accept)
	return link, nil
}

// Close ends all connections and waits until they have ended.
func (link *link) Close() {
	link.mu.Lock()
	link.closed = true
	link.mu.Unlock()
	link.listener.Close()
	link.setMode(Refusing, 0)
	link.wait.Wait()
}

// setMode changes the mode.
func (link *link) setMode(mode LinkMode, delay time.Duration) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.mode, link.delay = mode, delay
	close(link.changed)
	link.changed = make(chan struct{})
	for flow := range link.flows {
		if mode == Refusing || mode == Open && flow.discarded {
			flow.reset()
		}
	}
}

func (link *link) accept() {
	for {
		conn, err := link.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			link.wait.Go(func() { link.serve(conn) })
		}
	}
}

// serve forwards one connection.
func (link *link) serve(client net.Conn) {
	server, err := net.Dial("tcp", link.target)
	if err != nil {
		resetConn(client)
		return
	}
	flow := &flow{client: client, server: server, ended: make(chan struct{})}
	link.mu.Lock()
	refused := link.closed || link.mode == Refusing
	link.flows[flow] = true
	link.mu.Unlock()
	if refused {
		flow.reset()
	}
	var wait sync.WaitGroup
	wait.Go(func() { link.forward(flow, client, server, CutToServer, link.number) })
	wait.Go(func() { link.forward(flow, server, client, CutFromServer, link.source) })
	wait.Wait()
	flow.reset()
	link.mu.Lock()
	delete(link.flows, flow)
	link.mu.Unlock()
}

// forward forwards the bytes of one direction, which is held back by the given mode. The addresses in them become those
// that the receiver uses.
func (link *link) forward(flow *flow, from, to net.Conn, cut LinkMode, receiver int) {
	buffer := make([]byte, chunkBytes)
	kept := 0 // bytes at the beginning of the buffer that may begin an address
	for {
		count, err := from.Read(buffer[kept:])
		data := buffer[:kept+count]
		if !link.pass(flow, cut) {
			return
		}
		if kept = 0; link.rewrite && err == nil {
			readdress(data, receiver)
			kept = splitAddress(data)
		}
		if _, writeErr := to.Write(data[:len(data)-kept]); writeErr != nil {
			flow.reset()
			return
		}
		copy(buffer, data[len(data)-kept:])
		if err != nil {
			link.endDirection(flow, to, err)
			return
		}
	}
}

// endDirection passes the end of one direction on: a close as a close, a reset as a reset.
func (link *link) endDirection(flow *flow, to net.Conn, err error) {
	conn, isTCP := to.(*net.TCPConn)
	if errors.Is(err, net.ErrClosed) || !isTCP || !errors.Is(err, io.EOF) {
		flow.reset()
		return
	}
	_ = conn.CloseWrite()
}

// pass waits until the mode lets a chunk through, and reports false if the connection has ended or its bytes are
// discarded.
func (link *link) pass(flow *flow, cut LinkMode) bool {
	for {
		link.mu.Lock()
		mode, delay, changed := link.mode, link.delay, link.changed
		flow.discarded = flow.discarded || mode == Discarding
		discarded := flow.discarded
		link.mu.Unlock()
		switch {
		case discarded:
			<-flow.ended
			return false
		case mode == Delayed:
			return flow.sleep(delay)
		case mode != cut && mode != CutBoth:
			return true
		}
		select {
		case <-changed:
		case <-flow.ended:
			return false
		}
	}
}

// sleep waits and reports whether the connection still exists.
func (flow *flow) sleep(duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-flow.ended:
		return false
	}
}

// reset resets both connections.
func (flow *flow) reset() {
	flow.once.Do(func() {
		close(flow.ended)
		resetConn(flow.client)
		resetConn(flow.server)
	})
}

// resetConn closes a connection with a reset in place of an orderly end.
func resetConn(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// linkSet holds all links of a run by source and server.
type linkSet map[linkKey]*link

type linkKey struct {
	source int
	target endpoint
}

// choose returns the links that a condition selects, in a fixed order.
func (linkSet linkSet) choose(selected func(linkKey) bool) []*link {
	var keys []linkKey
	for key := range linkSet {
		if selected(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b linkKey) int {
		return (a.source-b.source)*1000000 + (a.target.group-b.target.group)*1000 + a.target.number - b.target.number
	})
	var links []*link
	for _, key := range keys {
		links = append(links, linkSet[key])
	}
	return links
}

// Close closes all links.
func (linkSet linkSet) Close() {
	for _, link := range linkSet {
		link.Close()
	}
}
