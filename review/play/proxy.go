package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands between the system and a backend, as the network does. It passes on
// bytes at once, and holds back a sender whose receiver does not read.
type proxy struct {
	addr string
	mu   sync.Mutex
	open map[*net.TCPConn]bool
}

// proxyBuffer is the size of each of the proxy's socket buffers.
const proxyBuffer = 64 << 10

func startProxy(to string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	x := &proxy{addr: ln.Addr().String(), open: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go x.pass(c.(*net.TCPConn), to)
		}
	}()
	return x
}

func (x *proxy) pass(c *net.TCPConn, to string) {
	defer c.Close()
	b, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	backend := b.(*net.TCPConn)
	defer backend.Close()
	_ = c.SetReadBuffer(proxyBuffer)
	_ = backend.SetWriteBuffer(proxyBuffer)
	x.mu.Lock()
	x.open[c] = true
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.open, c)
		x.mu.Unlock()
	}()
	go func() {
		if _, err := io.Copy(backend, c); err == nil {
			_ = backend.CloseWrite()
		}
	}()
	if _, err := io.Copy(c, backend); err == nil {
		_ = c.CloseWrite()
	}
}

// reset resets all channels from the system.
func (x *proxy) reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.open {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}
