//! Addresses of servers as they are written: `127.0.0.1:8000`, `[::1]:8000`, `[fe80::1%2]:8000`, `unix:/run/e.sock`.
//!
//! IPv6 stands in brackets (RFC 3986, 3.2.2), with a zone by its number where the address is of one link only
//! (RFC 4007, 11). Names are not looked up: a router that waits for a name server has one more way to fail.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV6};
use std::path::PathBuf;
use std::str::FromStr;

use thiserror::Error;

/// Longest path of a Unix socket: `sun_path` has 108 bytes on Linux, the last a zero (unix(7)).
pub const LONGEST_PATH: usize = 107;

/// How a server is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    Unix,
    V6,
    V4,
}

impl fmt::Display for Family {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Family::Unix => "unix",
            Family::V6 => "ipv6",
            Family::V4 => "ipv4",
        })
    }
}

/// Where a server listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

impl Place {
    /// An IPv4 address that is written as IPv6 (`::ffff:0:0/96`, RFC 4291, 2.5.5.2) travels by IPv4.
    pub fn family(&self) -> Family {
        match self {
            Place::Unix(_) => Family::Unix,
            Place::Tcp(SocketAddr::V4(_)) => Family::V4,
            Place::Tcp(SocketAddr::V6(addr)) if addr.ip().to_ipv4_mapped().is_some() => Family::V4,
            Place::Tcp(SocketAddr::V6(_)) => Family::V6,
        }
    }

    /// Value of the Host header in requests to it (RFC 9110, 7.2); a Unix socket has no host of its own.
    pub fn host(&self) -> String {
        match self {
            Place::Tcp(SocketAddr::V6(addr)) => {
                // A zone means nothing to the other side (RFC 6874, 3).
                SocketAddr::from((*addr.ip(), addr.port())).to_string()
            }
            Place::Tcp(addr) => addr.to_string(),
            Place::Unix(_) => "localhost".into(),
        }
    }
}

impl From<SocketAddr> for Place {
    fn from(addr: SocketAddr) -> Place {
        Place::Tcp(addr)
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Tcp(addr) => addr.fmt(f),
            Place::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// What is wrong with an address, by its part.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlaceError {
    #[error("expected an address such as 127.0.0.1:8000, [::1]:8000 or unix:/run/engine.sock")]
    Form,
    #[error("address: \"{0}\" is no IPv4 address; names are not looked up")]
    V4(String),
    #[error("address: \"{0}\" is no IPv6 address")]
    V6(String),
    #[error("address: IPv6 stands in brackets, as in [::1]:8000")]
    Brackets,
    #[error("address: {0} cannot be connected to")]
    Unusable(IpAddr),
    #[error("port: expected a number from 1 to 65535 after the last colon")]
    Port,
    #[error("zone: expected an interface's number, as in [fe80::1%2]:8000")]
    Zone,
    #[error("zone: only addresses of one link (fe80::/10) take one")]
    ZoneNotWanted,
    #[error("zone: an address of one link (fe80::/10) needs one, as in [fe80::1%2]:8000")]
    ZoneMissing,
    #[error("path: expected an absolute path after unix:")]
    Relative,
    #[error("path: {0} bytes are too long for a Unix socket, which has room for {LONGEST_PATH}")]
    TooLong(usize),
    #[error("path: a zero byte cannot stand in it")]
    Zero,
}

fn port(text: &str) -> Result<u16, PlaceError> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|port| digits && *port > 0).ok_or(PlaceError::Port)
}

fn usable(ip: IpAddr) -> Result<IpAddr, PlaceError> {
    let broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    if ip.is_unspecified() || ip.is_multicast() || broadcast { Err(PlaceError::Unusable(ip)) } else { Ok(ip) }
}

fn unix(path: &str) -> Result<Place, PlaceError> {
    if !path.starts_with('/') || path.ends_with('/') {
        return Err(PlaceError::Relative);
    }
    if path.contains('\0') {
        return Err(PlaceError::Zero);
    }
    if path.len() > LONGEST_PATH {
        return Err(PlaceError::TooLong(path.len()));
    }
    Ok(Place::Unix(path.into()))
}

fn v6(rest: &str) -> Result<Place, PlaceError> {
    let (inner, after) = rest.split_once(']').ok_or(PlaceError::Brackets)?;
    let port = port(after.strip_prefix(':').ok_or(PlaceError::Port)?)?;
    let (ip, zone) = match inner.split_once('%') {
        None => (inner, None),
        Some((ip, zone)) => (ip, Some(zone)),
    };
    let ip: Ipv6Addr = ip.parse().map_err(|_| PlaceError::V6(ip.into()))?;
    usable(ip.into())?;
    let scope = match zone {
        None if ip.is_unicast_link_local() => return Err(PlaceError::ZoneMissing),
        None => 0,
        Some(_) if !ip.is_unicast_link_local() => return Err(PlaceError::ZoneNotWanted),
        Some(zone) if zone.bytes().all(|b| b.is_ascii_digit()) => {
            zone.parse().ok().filter(|number| *number > 0).ok_or(PlaceError::Zone)?
        }
        Some(_) => return Err(PlaceError::Zone),
    };
    Ok(Place::Tcp(SocketAddrV6::new(ip, port, 0, scope).into()))
}

impl FromStr for Place {
    type Err = PlaceError;

    fn from_str(text: &str) -> Result<Place, PlaceError> {
        if let Some(path) = text.strip_prefix("unix:") {
            return unix(path);
        }
        if let Some(rest) = text.strip_prefix('[') {
            return v6(rest);
        }
        let (host, after) = text.rsplit_once(':').ok_or(PlaceError::Form)?;
        if host.contains(':') {
            return Err(PlaceError::Brackets);
        }
        let ip: Ipv4Addr = host.parse().map_err(|_| PlaceError::V4(host.into()))?;
        usable(ip.into())?;
        Ok(Place::Tcp((ip, port(after)?).into()))
    }
}

#[cfg(test)]
mod tests;
