package linker

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// codec writes and reads messages in the form of jsonrpc2.VarintObjectCodec: the length of the JSON text, and the text. Messages
// encode and decode themselves; with json.Marshal and json.Decoder around that, each byte would be read twice more.
type codec struct{}

// maxMessageBytes bounds a message that is read.
const maxMessageBytes = 64 << 20

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
func (codec) ReadObject(stream *bufio.Reader, value any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err //nolint:wrapcheck // jsonrpc2 compares it with io.EOF
	}
	if size > maxMessageBytes {
		return Error.New("message of %d bytes, at most %d are accepted", size, maxMessageBytes)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(stream, text); err != nil {
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
