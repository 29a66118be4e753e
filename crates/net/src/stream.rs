//! A connected socket of either kind.

use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, RawFd};
use std::os::unix::net::UnixStream;

use socket2::SockRef;

/// A connected socket.
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

    /// Looks at the next byte without taking it.
    pub(crate) fn peek(&self) -> io::Result<usize> {
        SockRef::from(self).peek(&mut [MaybeUninit::uninit()])
    }

    pub(crate) fn shut(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.shutdown(Shutdown::Both),
            Stream::Unix(stream) => stream.shutdown(Shutdown::Both),
        }
    }

    pub(crate) fn end(&self) -> io::Result<()> {
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

    /// Small messages that wait for acknowledgement would add up to 40 ms to a token.
    pub(crate) fn set_nodelay(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => stream.set_nodelay(true),
            Stream::Unix(_) => Ok(()),
        }
    }

    pub(crate) fn take_error(&self) -> io::Result<Option<io::Error>> {
        SockRef::from(self).take_error()
    }

    /// Whether the other side has taken the connection; an error of kind `NotConnected` while it has not.
    pub(crate) fn is_connected(&self) -> io::Result<()> {
        SockRef::from(self).peer_addr().map(|_| ())
    }
}
