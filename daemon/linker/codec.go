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
// Messages that arrive claim memory while they are incomplete.
type codec struct {
	memory *budgeter.Budget // nil for no limit
	close  func()           // closes the connection
}

const (
	// maxMessageBytes bounds a message that is read.
	maxMessageBytes = 64 << 20
	// firstBytes is the part of a message for which there is always memory.
	firstBytes = 16 << 10
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

// read reads the text of a message of a size. Its memory grows with what has arrived, and is claimed beyond firstBytes: a peer that
// announces a large message takes none for that.
func (codec codec) read(stream io.Reader, size int) ([]byte, error) {
	text := make([]byte, 0, min(size, firstBytes))
	var claim *budgeter.Claim
	for {
		count, err := io.ReadFull(stream, text[len(text):cap(text)])
		text = text[:len(text)+count]
		if err != nil {
			return nil, err //nolint:wrapcheck // the caller wraps it
		}
		if len(text) == size {
			return text, nil
		}
		grown := min(2*cap(text), size)
		if codec.memory != nil {
			if claim == nil {
				claim = codec.memory.NewClaim(codec.close)
				defer claim.Release()
			}
			if err := claim.Grow(int64(grown)); err != nil {
				return nil, fmt.Errorf("claim memory: %w", err)
			}
		}
		text = append(make([]byte, 0, grown), text...)
	}
}
