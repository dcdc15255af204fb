package linker

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"runtime"
	"testing"

	"ebonyshunt.org/library/budgeter"
	"github.com/sourcegraph/jsonrpc2"
)

// TestCodec checks against the codec of the library, which hosts of earlier releases use: each reads what the other writes.
func TestCodec(t *testing.T) {
	params := json.RawMessage(`{"body":{"a":[1,2]},"version":1}`) // sorted, as the library writes it
	request := &jsonrpc2.Request{Method: "x", ID: jsonrpc2.ID{Num: 7}, Params: &params}
	for name, codecs := range map[string][2]jsonrpc2.ObjectCodec{
		"own":         {codec{}, codec{}},
		"fromLibrary": {jsonrpc2.VarintObjectCodec{}, codec{}},
		"toLibrary":   {codec{}, jsonrpc2.VarintObjectCodec{}},
	} {
		t.Run(name, func(t *testing.T) {
			var stream bytes.Buffer
			for range 2 {
				if err := codecs[0].WriteObject(&stream, request); err != nil {
					t.Fatal(err)
				}
			}
			reader := bufio.NewReader(&stream)
			for range 2 {
				var got jsonrpc2.Request
				if err := codecs[1].ReadObject(reader, &got); err != nil {
					t.Fatal(err)
				}
				if got.Method != request.Method || got.ID != request.ID || !reflect.DeepEqual(got.Params, request.Params) {
					t.Errorf("read %+v, want %+v", got, request)
				}
			}
		})
	}
}

// TestBrokenMessages checks that a stream that ends, or is no stream of messages, is told apart from a whole one.
func TestBrokenMessages(t *testing.T) {
	for _, test := range []struct {
		name   string
		stream []byte
		ended  bool // whether it ends between two messages
	}{
		{"end", nil, true},
		{"truncated", append(binary.AppendUvarint(nil, 10), `{"a":`...), false},
		{"huge", binary.AppendUvarint(nil, maxMessageBytes+1), false},
		{"notJSON", append(binary.AppendUvarint(nil, 1), '{'), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := codec{}.ReadObject(bufio.NewReader(bytes.NewReader(test.stream)), &jsonrpc2.Request{})
			if err == nil || errors.Is(err, io.EOF) != test.ended {
				t.Errorf("error %v, want io.EOF %t", err, test.ended)
			}
		})
	}
}

// TestLargeMessages checks that a large message claims memory as it arrives, that it is read whole, and that one without memory ends.
func TestLargeMessages(t *testing.T) {
	const size = 1 << 20
	text := append([]byte{'"'}, bytes.Repeat([]byte{'x'}, size-2)...)
	message := append(binary.AppendUvarint(nil, size), append(text, '"')...)
	read := func(memory *budgeter.Budget, message []byte) (string, *inbound, error) {
		var value string
		inbound := &inbound{memory: &Memory{Budget: memory, Met: func(Limit) {}}, close: func() {}}
		err := codec{inbound}.ReadObject(bufio.NewReader(bytes.NewReader(message)), &value)
		return value, inbound, err
	}
	t.Run("whole", func(t *testing.T) {
		memory := budgeter.New(8 * size)
		value, inbound, err := read(memory, message)
		if err != nil || len(value) != size-2 || memory.Used() != messageCopies*size {
			t.Errorf("read %d bytes, error %v, %d bytes claimed until the answer", len(value), err, memory.Used())
		}
		release, found := inbound.take()
		if !found {
			t.Fatal("the message has lost its memory")
		}
		release()
		if memory.Used() != 0 {
			t.Errorf("%d bytes claimed after the answer", memory.Used())
		}
	})
	t.Run("notTaken", func(t *testing.T) { // an answer, or a message that does not decode
		memory := budgeter.New(8 * size)
		_, inbound, _ := read(memory, message)
		inbound.release()
		if memory.Used() != 0 {
			t.Errorf("%d bytes claimed", memory.Used())
		}
	})
	t.Run("truncated", func(t *testing.T) {
		memory := budgeter.New(8 * size)
		if _, _, err := read(memory, message[:size/2]); err == nil || memory.Used() != 0 {
			t.Errorf("error %v, %d bytes claimed afterwards", err, memory.Used())
		}
	})
	t.Run("notJSON", func(t *testing.T) {
		memory := budgeter.New(8 * size)
		if _, _, err := read(memory, append(binary.AppendUvarint(nil, size), make([]byte, size)...)); err == nil || memory.Used() != 0 {
			t.Errorf("error %v, %d bytes claimed afterwards", err, memory.Used())
		}
	})
	t.Run("noMemory", func(t *testing.T) {
		memory := budgeter.New(size)
		_, _, err := read(memory, message)
		if !budgeter.ErrFull.Has(err) || memory.Used() != 0 {
			t.Errorf("error %v, %d bytes claimed afterwards", err, memory.Used())
		}
	})
	t.Run("onlyAnnounced", func(t *testing.T) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if _, _, err := read(budgeter.New(size), binary.AppendUvarint(nil, maxMessageBytes)); err == nil || budgeter.ErrFull.Has(err) {
			t.Errorf("error %v, want the end of the stream", err)
		}
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > size {
			t.Errorf("%d bytes allocated for an announced message", allocated)
		}
	})
}
