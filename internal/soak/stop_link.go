package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// stopConn is a connection of a caller to one process of an instance.
type stopConn struct {
	*net.TCPConn
	number      int
	in          *Instance
	incarnation int
	// readSize and readPause make the caller read at most readSize bytes at a time,
	// with a pause before each, unless readSize is 0.
	readSize  int
	readPause time.Duration
}

// Read implements net.Conn.
func (c *stopConn) Read(p []byte) (int, error) {
	if c.readSize > 0 {
		time.Sleep(c.readPause)
		p = p[:min(len(p), c.readSize)]
	}
	return c.TCPConn.Read(p)
}

// ended reports whether the connection has ended and all has been read.
func (c *stopConn) ended() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || n <= 0 && !errors.Is(peekErr, syscall.EAGAIN)
}

const (
	dialTimeout = time.Second
	// smallBuffer is the receive buffer of callers that read slowly, in bytes.
	smallBuffer = 4 << 10
	// linkWindow is the receive buffer at the far end of a link, and linkChunk and
	// linkChunks bound what is under way in one direction: links have small windows.
	linkWindow            = 8 << 10
	linkChunk, linkChunks = 2 << 10, 4
)

// dialBuffered connects to an address. buffer is the size of the receive buffer, or 0
// for the kernel's choice, and delay the time that bytes take in each direction.
func dialBuffered(addr string, buffer int, delay time.Duration) (*net.TCPConn, error) {
	if delay > 0 {
		return dialLink(addr, buffer, delay)
	}
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		if buffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// dialLink is dialBuffered for a link of its own.
func dialLink(addr string, buffer int, delay time.Duration) (*net.TCPConn, error) {
	far, err := dialBuffered(addr, linkWindow, 0)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, far.Close())
	}
	defer ln.Close()
	near, err := dialBuffered(ln.Addr().String(), buffer, 0)
	if err != nil {
		return nil, errors.Join(err, far.Close())
	}
	c, err := ln.Accept()
	if err != nil {
		return nil, errors.Join(err, near.Close(), far.Close())
	}
	middle := c.(*net.TCPConn)
	_ = middle.SetWriteBuffer(linkWindow) // A larger one only hides a slow reader.
	go func() {
		defer middle.Close()
		defer far.Close()
		var both sync.WaitGroup
		both.Go(func() { carry(middle, far, delay) })
		both.Go(func() { carry(far, middle, delay) })
		both.Wait()
	}()
	return near, nil
}

// carry passes bytes on after a delay, and the end of the stream or a reset after
// them, as a link does.
func carry(from, to *net.TCPConn, delay time.Duration) {
	type chunk struct {
		data []byte
		due  time.Time
		err  error
	}
	under := make(chan chunk, linkChunks)
	go func() {
		for {
			data := make([]byte, linkChunk)
			n, err := from.Read(data)
			under <- chunk{data[:n], time.Now().Add(delay), err}
			if err != nil {
				close(under)
				return
			}
		}
	}()
	broken := false
	for c := range under {
		time.Sleep(time.Until(c.due))
		if !broken {
			_, err := to.Write(c.data)
			broken = err != nil // The end or the reset comes from there, behind the bytes under way.
		}
		switch {
		case broken || c.err == nil:
		case errors.Is(c.err, io.EOF):
			_ = to.CloseWrite()
		default:
			_ = to.SetLinger(0)
			_ = to.Close()
		}
	}
}
