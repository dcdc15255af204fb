package linker

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"ebonyshunt.org/library/budgeter"
	"github.com/sourcegraph/jsonrpc2"
)

// codec writes and reads messages in the form of jsonrpc2.VarintObjectCodec: the length of the JSON text, and the text. Messages
// encode and decode themselves; with json.Marshal and json.Decoder around that, each byte would be read twice more.
type codec struct {
	inbound *inbound // nil for no limit
}

// Memory is the memory for what arrives on all connections of a server.
type Memory struct {
	Budget    *budgeter.Budget // for large messages
	CallBytes int64            // for the calls that are open, beyond their large messages
	Met       func(Limit)      // called for each connection that is closed since there is none
}

// Limit is a limit for all peers together.
type Limit string

// The limits for all peers.
const (
	MessageMemory Limit = "messageMemory" // large messages
	CallMemory    Limit = "callMemory"    // open calls
)

// inbound claims memory for the messages that arrive on one connection. It is used by the goroutine that reads them.
type inbound struct {
	memory *Memory         // nil for no limit
	close  func()          // closes the connection
	claim  *budgeter.Claim // of the latest message, nil for a small one or one that take was called for
	size   int             // bytes of the latest message
}

const (
	// maxMessageBytes bounds a message that is read.
	maxMessageBytes = 64 << 20
	// firstBytes is the part of a message for which there is always memory.
	firstBytes = 16 << 10
	// messageCopies is the number of times that a message is in memory while its call is answered: its text, its parameters, and their body.
	messageCopies = 3
)

var _ jsonrpc2.ObjectCodec = codec{}

// WriteObject writes a message.
func (codec) WriteObject(stream io.Writer, object any) error {
	text, err := marshal(object)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	header := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), uint64(len(text)))
	if _, err := stream.Write(header); err != nil {
		return fmt.Errorf("write length of message: %w", err)
	}
	if _, err := stream.Write(text); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

func marshal(object any) ([]byte, error) {
	if marshaler, ok := object.(json.Marshaler); ok {
		return marshaler.MarshalJSON()
	}
	return json.Marshal(object)
}

// ReadObject reads the next message into a value. At the end of the stream it returns io.EOF as it is.
func (codec codec) ReadObject(stream *bufio.Reader, value any) error {
	codec.inbound.release()
	err := codec.readObject(stream, value)
	if err != nil {
		codec.inbound.release()
	}
	return err
}

func (codec codec) readObject(stream *bufio.Reader, value any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err //nolint:wrapcheck // jsonrpc2 compares it with io.EOF
	}
	if size > maxMessageBytes {
		return Error.New("message of %d bytes, at most %d are accepted", size, maxMessageBytes)
	}
	text, err := codec.read(stream, int(size))
	if err != nil {
		return fmt.Errorf("read message: %w", err)
	}
	if unmarshaler, ok := value.(json.Unmarshaler); ok {
		err = unmarshaler.UnmarshalJSON(text)
	} else {
		err = json.Unmarshal(text, value)
	}
	if err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// read reads the text of a message of a size. Its memory grows with what has arrived: a peer that announces a large message takes
// none for that.
func (codec codec) read(stream io.Reader, size int) ([]byte, error) {
	if codec.inbound != nil {
		codec.inbound.size = size
	}
	text := make([]byte, 0, min(size, firstBytes))
	for {
		count, err := io.ReadFull(stream, text[len(text):cap(text)])
		text = text[:len(text)+count]
		if err != nil {
			return nil, err //nolint:wrapcheck // the caller wraps it
		}
		if len(text) == size {
			break
		}
		grown := min(2*cap(text), size)
		if err := codec.inbound.grow(grown); err != nil {
			return nil, err
		}
		text = append(make([]byte, 0, grown), text...)
	}
	if size > firstBytes {
		return text, codec.inbound.grow(messageCopies * size)
	}
	return text, nil
}

// grow claims a number of bytes for the message that arrives.
func (inbound *inbound) grow(bytes int) error {
	if inbound == nil || inbound.memory == nil {
		return nil
	}
	if inbound.claim == nil {
		inbound.claim = inbound.memory.Budget.NewClaim(inbound.close)
	}
	if err := inbound.claim.Grow(int64(bytes)); err != nil {
		inbound.memory.Met(MessageMemory)
		return fmt.Errorf("claim memory: %w", err)
	}
	return nil
}

// take returns the function that returns the memory of the latest message. It reports false if the message had to give its memory to
// others meanwhile.
func (inbound *inbound) take() (release func(), found bool) {
	claim := inbound.claim
	inbound.claim = nil
	if claim == nil {
		return func() {}, true
	}
	if err := claim.Arrived(); err != nil {
		claim.Release()
		return nil, false
	}
	return claim.Release, true
}

// release returns the memory of the latest message unless take was called.
func (inbound *inbound) release() {
	if inbound != nil && inbound.claim != nil {
		inbound.claim.Release()
		inbound.claim = nil
	}
}
