//! Addresses of servers in text form: `127.0.0.1:8000`, `[::1]:8000`, `[fe80::1%2]:8000`, `unix:/run/e.sock`.
//!
//! IPv6 addresses are written in brackets (RFC 3986, 3.2.2). Link-local ones have a zone, which is the number of an
//! interface (RFC 4007, 11). Host names are not resolved: a router that depends on a name server has one more way
//! to fail.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV6};
use std::path::PathBuf;
use std::str::FromStr;

use thiserror::Error;

/// Longest path of a Unix socket: `sun_path` has 108 bytes on Linux, including the final zero byte (unix(7)).
pub const MAX_UNIX_PATH_BYTES: usize = 107;

/// The address family by which a server is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AddressFamily {
    Unix,
    V6,
    V4,
}

impl fmt::Display for AddressFamily {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AddressFamily::Unix => "unix",
            AddressFamily::V6 => "ipv6",
            AddressFamily::V4 => "ipv4",
        })
    }
}

/// The address that a server listens on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Endpoint {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

impl Endpoint {
    /// The address family. An IPv4-mapped IPv6 address (`::ffff:0:0/96`, RFC 4291, 2.5.5.2) counts as IPv4, since
    /// that is how its packets are sent.
    pub fn family(&self) -> AddressFamily {
        match self {
            Endpoint::Unix(_) => AddressFamily::Unix,
            Endpoint::Tcp(SocketAddr::V4(_)) => AddressFamily::V4,
            Endpoint::Tcp(SocketAddr::V6(addr)) if addr.ip().to_ipv4_mapped().is_some() => AddressFamily::V4,
            Endpoint::Tcp(SocketAddr::V6(_)) => AddressFamily::V6,
        }
    }

    /// Value of the `Host` header in requests to this address (RFC 9110, 7.2): `localhost` for a Unix socket, which
    /// has no host.
    pub fn host(&self) -> String {
        match self {
            Endpoint::Tcp(SocketAddr::V6(addr)) => {
                // The zone is left out, since it has a meaning only on this machine (RFC 6874, 3).
                SocketAddr::from((*addr.ip(), addr.port())).to_string()
            }
            Endpoint::Tcp(addr) => addr.to_string(),
            Endpoint::Unix(_) => "localhost".into(),
        }
    }
}

impl From<SocketAddr> for Endpoint {
    fn from(addr: SocketAddr) -> Endpoint {
        Endpoint::Tcp(addr)
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Endpoint::Tcp(addr) => addr.fmt(f),
            Endpoint::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// The reason why an address is invalid, by the part that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointError {
    #[error("expected an address such as 127.0.0.1:8000, [::1]:8000 or unix:/run/engine.sock")]
    Malformed,
    #[error("address: \"{0}\" is not an IPv4 address; host names are not resolved")]
    InvalidIpv4(String),
    #[error("address: \"{0}\" is not an IPv6 address")]
    InvalidIpv6(String),
    #[error("address: IPv6 stands in brackets, as in [::1]:8000")]
    MissingBrackets,
    #[error("address: {0} cannot be connected to")]
    NotConnectable(IpAddr),
    #[error("port: expected a number from 1 to 65535 after the last colon")]
    InvalidPort,
    #[error("zone: expected an interface's number, as in [fe80::1%2]:8000")]
    InvalidZone,
    #[error("zone: only link-local addresses (fe80::/10) have one")]
    UnexpectedZone,
    #[error("zone: a link-local address (fe80::/10) needs one, as in [fe80::1%2]:8000")]
    MissingZone,
    #[error("path: expected an absolute path after unix:")]
    RelativePath,
    #[error("path: {0} bytes are too long for a Unix socket, whose path has at most {MAX_UNIX_PATH_BYTES}")]
    PathTooLong(usize),
    #[error("path: must not contain a zero byte")]
    ZeroByteInPath,
}

/// Parses a port number from 1 to 65535.
fn parse_port(text: &str) -> Result<u16, EndpointError> {
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|port| is_number && *port > 0).ok_or(EndpointError::InvalidPort)
}

/// Rejects addresses that cannot be connected to.
fn check_connectable(ip: IpAddr) -> Result<IpAddr, EndpointError> {
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    if ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        Err(EndpointError::NotConnectable(ip))
    } else {
        Ok(ip)
    }
}

/// Parses the path of a Unix socket.
fn parse_unix_path(path: &str) -> Result<Endpoint, EndpointError> {
    if !path.starts_with('/') || path.ends_with('/') {
        return Err(EndpointError::RelativePath);
    }
    if path.contains('\0') {
        return Err(EndpointError::ZeroByteInPath);
    }
    if path.len() > MAX_UNIX_PATH_BYTES {
        return Err(EndpointError::PathTooLong(path.len()));
    }
    Ok(Endpoint::Unix(path.into()))
}

/// Parses the part of an IPv6 address after the opening bracket.
fn parse_ipv6(rest: &str) -> Result<Endpoint, EndpointError> {
    let (inner, after) = rest.split_once(']').ok_or(EndpointError::MissingBrackets)?;
    let port = parse_port(after.strip_prefix(':').ok_or(EndpointError::InvalidPort)?)?;
    let (ip, zone) = match inner.split_once('%') {
        None => (inner, None),
        Some((ip, zone)) => (ip, Some(zone)),
    };
    let ip: Ipv6Addr = ip.parse().map_err(|_| EndpointError::InvalidIpv6(ip.into()))?;
    check_connectable(ip.into())?;
    let scope_id = match zone {
        None if ip.is_unicast_link_local() => return Err(EndpointError::MissingZone),
        None => 0,
        Some(_) if !ip.is_unicast_link_local() => return Err(EndpointError::UnexpectedZone),
        Some(zone) if zone.bytes().all(|b| b.is_ascii_digit()) => {
            zone.parse().ok().filter(|number| *number > 0).ok_or(EndpointError::InvalidZone)?
        }
        Some(_) => return Err(EndpointError::InvalidZone),
    };
    Ok(Endpoint::Tcp(SocketAddrV6::new(ip, port, 0, scope_id).into()))
}

impl FromStr for Endpoint {
    type Err = EndpointError;

    fn from_str(text: &str) -> Result<Endpoint, EndpointError> {
        if let Some(path) = text.strip_prefix("unix:") {
            return parse_unix_path(path);
        }
        if let Some(rest) = text.strip_prefix('[') {
            return parse_ipv6(rest);
        }
        let (host, after) = text.rsplit_once(':').ok_or(EndpointError::Malformed)?;
        if host.contains(':') {
            return Err(EndpointError::MissingBrackets);
        }
        let ip: Ipv4Addr = host.parse().map_err(|_| EndpointError::InvalidIpv4(host.into()))?;
        check_connectable(ip.into())?;
        Ok(Endpoint::Tcp((ip, parse_port(after)?).into()))
    }
}

#[cfg(test)]
mod tests;
