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

	"primrosecourse/pkg/bounded"
)

// MaxFrameBytes is the maximum size of a frame without its length field. It bounds the memory that a peer can make the
// reader allocate.
const MaxFrameBytes = 4 << 20

// lengthBytes is the size of the length field of a frame.
const lengthBytes = 4

// Protocol errors. The connection must be closed when Read returns any of them. Write returns ErrFrameTooLarge too, and the
// connection remains usable then.
var (
	ErrFrameTooLarge = errors.New("wire: frame exceeds the size limit")
	ErrUnknownType   = errors.New("wire: unknown message type")
	ErrMalformed     = errors.New("wire: malformed message body")
)

// Conn reads and writes messages on a connection. Read must not be called concurrently. Write may be called
// concurrently, also with Read.
type Conn struct {
	netConn net.Conn
	r       *bufio.Reader

	mu  sync.Mutex
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// NewConn returns a Conn for netConn, and takes ownership of netConn.
func NewConn(netConn net.Conn) *Conn {
	conn := &Conn{netConn: netConn, r: bufio.NewReaderSize(netConn, 16<<10)}
	conn.enc = msgpack.NewEncoder(&conn.buf)
	// With compact integers a token ID takes 1 byte up to 127, 2 up to 255 and 3 up to 65,535, instead of always 5. Decoders
	// accept integers of any width.
	conn.enc.UseCompactInts(true)
	return conn
}

// NetConn returns the underlying connection, for deadlines and addresses.
func (c *Conn) NetConn() net.Conn { return c.netConn }

// Close closes the underlying connection.
func (c *Conn) Close() error { return c.netConn.Close() }

// Write sends one message. After an encoding error or ErrFrameTooLarge the connection remains usable, since no byte was
// sent. After any other error the peer may have received the message or a part of it.
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
	_, err = c.netConn.Write(c.buf.Bytes())
	if c.buf.Cap() > 256<<10 {
		c.buf = bytes.Buffer{}
	}
	return err
}

// Read returns the next message. The error is io.EOF if the peer closed the connection between two frames.
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

// readFrame reads n bytes. Its buffer grows with the bytes that arrive, so that a false length
// alone does not allocate memory.
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

// Decode decodes body as a message of type t. Any error is marked as ErrUnknownType or ErrMalformed.
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
	if err := bounded.Unmarshal(body, &m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "malformed body"), ErrMalformed)
	}
	return m, nil
}
