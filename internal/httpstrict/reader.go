package httpstrict

import (
	"bufio"
	"io"
	"net/http"
)

// bufferSize is the size of a reader's buffer in bytes.
const bufferSize = 4 << 10

// Reader reads the responses of one connection. It is not safe for concurrent use.
type Reader struct {
	src  io.Reader
	br   *bufio.Reader
	head head
}

// NewReader returns a reader of responses whose heads have at most maxHead bytes.
func NewReader(src io.Reader, maxHead int) *Reader {
	r := &Reader{src: src, head: head{max: maxHead, state: headDone}}
	r.br = bufio.NewReaderSize(source{r}, bufferSize)
	return r
}

// source checks what is read into the buffer.
type source struct{ *Reader }

// Read implements io.Reader.
func (s source) Read(p []byte) (int, error) {
	if s.head.err != nil {
		return 0, s.head.err
	}
	n, err := s.src.Read(p)
	if bad := s.head.check(p[:n]); bad != nil {
		return 0, bad
	}
	return n, err
}

// Await waits for the first byte of the next response. It returns io.EOF if the
// connection ends before.
func (r *Reader) Await() error {
	r.head.reset()
	buffered, _ := r.br.Peek(r.br.Buffered()) // Never fails for buffered bytes.
	if err := r.head.check(buffered); err != nil {
		return err
	}
	_, err := r.br.Peek(1)
	return err
}

// Read reads the head of the response for which Await has waited. The body has to be
// read to its end before the next call of Await. A head that ends with the connection
// gives io.ErrUnexpectedEOF.
func (r *Reader) Read(req *http.Request) (*http.Response, error) {
	resp, err := http.ReadResponse(r.br, req)
	if err != nil {
		return nil, err
	}
	if r.head.state != headDone {
		return nil, ErrNoResponse
	}
	return resp, nil
}

// Buffered returns the number of bytes that have been received and not been read.
func (r *Reader) Buffered() int { return r.br.Buffered() }
