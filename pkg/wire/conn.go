package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// MaxFrameBytes bounds a frame without its length field, so that a peer cannot make the reader allocate more.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

// The errors of a broken peer. The connection must be closed after any of them.
var (
	ErrFrameTooLarge = errors.New("wire: frame exceeds the size limit")
	ErrUnknownType   = errors.New("wire: unknown message type")
	ErrMalformed     = errors.New("wire: malformed message body")
)

// Conn reads and writes messages. One goroutine may read while any number write.
type Conn struct {
	conn net.Conn
	r    *bufio.Reader

	mu  sync.Mutex
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// NewConn returns a Conn that owns c.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{conn: c, r: bufio.NewReaderSize(c, 16<<10)}
	conn.enc = msgpack.NewEncoder(&conn.buf)
	// Most tokens take 1 byte instead of 5. Readers take integers of every width.
	conn.enc.UseCompactInts(true)
	return conn
}

// NetConn returns the connection below, for deadlines and addresses.
func (c *Conn) NetConn() net.Conn { return c.conn }

// Close closes the connection below.
func (c *Conn) Close() error { return c.conn.Close() }

// Write sends one message. An error from the encoder or ErrFrameTooLarge leaves the connection usable, since no byte
// was sent; any other error means that the peer may have received the message or a part of it.
func (c *Conn) Write(m Message) (err error) {
	defer func() { err = errors.Wrapf(err, "wire: write %s", m.MessageType()) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buf.Reset()
	c.buf.Write(make([]byte, lengthBytes))
	c.buf.WriteByte(byte(m.MessageType()))
	if err = c.enc.Encode(m); err != nil {
		return err
	}
	n := c.buf.Len() - lengthBytes
	if n > MaxFrameBytes {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(c.buf.Bytes(), uint32(n))
	_, err = c.conn.Write(c.buf.Bytes())
	if c.buf.Cap() > 256<<10 {
		c.buf = bytes.Buffer{}
	}
	return err
}

// Read returns the next message. At a clean end of the connection the error is io.EOF.
func (c *Conn) Read() (m Message, err error) {
	defer func() {
		if err != io.EOF {
			err = errors.Wrap(err, "wire: read")
		}
	}()
	var head [lengthBytes]byte
	if _, err = io.ReadFull(c.r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 {
		return nil, ErrMalformed
	}
	if n > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	frame, err := readFrame(c.r, int(n))
	if err != nil {
		return nil, err
	}
	return Decode(Type(frame[0]), frame[1:])
}

// readFrame grows with the bytes that arrive, so that a false length costs no memory.
func readFrame(r io.Reader, n int) ([]byte, error) {
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return b.Bytes(), nil
}

// Decode returns the message of type t in body. The error is ErrUnknownType or ErrMalformed.
func Decode(t Type, body []byte) (Message, error) {
	switch t {
	case TypeHello:
		return decode[Hello](body)
	case TypeGoodbye:
		return decode[Goodbye](body)
	case TypeSubmit:
		return decode[Submit](body)
	case TypeAccepted:
		return decode[Accepted](body)
	case TypeRefused:
		return decode[Refused](body)
	case TypeTokens:
		return decode[Tokens](body)
	case TypeEnd:
		return decode[End](body)
	case TypeCancel:
		return decode[Cancel](body)
	case TypeCall:
		return decode[Call](body)
	case TypeReply:
		return decode[Reply](body)
	case TypePing:
		return decode[Ping](body)
	case TypeLoad:
		return decode[Load](body)
	case TypeConfigPush:
		return decode[ConfigPush](body)
	case TypeConfigWant:
		return decode[ConfigWant](body)
	case TypeMark:
		return decode[Mark](body)
	}
	return nil, errors.Wrapf(ErrUnknownType, "type %d", uint8(t))
}

func decode[T Message](body []byte) (Message, error) {
	var m T
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "malformed body"), ErrMalformed)
	}
	return m, nil
}
