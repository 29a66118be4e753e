//! A connected TCP or Unix socket under one type.
//!
//! It only forwards system calls; waiting and time limits belong to [`crate::Conn`].

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::os::unix::net::UnixStream;

use socket2::SockRef;

/// A connected TCP or Unix socket.
#[derive(Debug)]
pub enum Stream {
    Tcp(TcpStream),
    Unix(UnixStream),
}

impl From<TcpStream> for Stream {
    fn from(stream: TcpStream) -> Stream {
        Stream::Tcp(stream)
    }
}

impl From<UnixStream> for Stream {
    fn from(stream: UnixStream) -> Stream {
        Stream::Unix(stream)
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        match self {
            Stream::Tcp(stream) => stream.as_fd(),
            Stream::Unix(stream) => stream.as_fd(),
        }
    }
}

impl AsRawFd for Stream {
    fn as_raw_fd(&self) -> RawFd {
        self.as_fd().as_raw_fd()
    }
}

impl Stream {
    pub(crate) fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => (&*stream).read(buffer),
            Stream::Unix(stream) => (&*stream).read(buffer),
        }
    }

    pub(crate) fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Tcp(stream) => (&*stream).write(bytes),
            Stream::Unix(stream) => (&*stream).write(bytes),
        }
    }

    /// Reads the next byte without removing it from the socket.
    pub(crate) fn peek(&self) -> io::Result<usize> {
        SockRef::from(self).peek(&mut [MaybeUninit::uninit()])
    }

    pub(crate) fn shutdown_both(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.shutdown(Shutdown::Both),
            Stream::Unix(stream) => stream.shutdown(Shutdown::Both),
        }
    }

    pub(crate) fn shutdown_write(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.shutdown(Shutdown::Write),
            Stream::Unix(stream) => stream.shutdown(Shutdown::Write),
        }
    }

    pub(crate) fn try_clone(&self) -> io::Result<Stream> {
        match self {
            Stream::Tcp(stream) => stream.try_clone().map(Stream::Tcp),
            Stream::Unix(stream) => stream.try_clone().map(Stream::Unix),
        }
    }

    /// Disables Nagle's algorithm on TCP. Small messages that wait for an acknowledgement would delay a token
    /// by up to 40 ms.
    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.set_nodelay(true),
            Stream::Unix(_) => Ok(()),
        }
    }

    pub(crate) fn take_error(&self) -> io::Result<Option<io::Error>> {
        SockRef::from(self).take_error()
    }

    /// Succeeds once the peer has accepted the connection. Fails with an error of kind `NotConnected` before.
    pub(crate) fn is_connected(&self) -> io::Result<()> {
        SockRef::from(self).peer_addr().map(|_| ())
    }
}
