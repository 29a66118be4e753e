//! The commands' side: one question to a keeper, and its answer.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use elderstage_fleet::change::BadProposal;
use elderstage_fleet::record::{Command, Outcome};
use elderstage_fleet::wire::{
    self, ClientRequest, ClientResponse, FleetStatus, Frame, Hello, PROTOCOL_VERSION,
};
use elderstage_net::{go, init_small, open};
use thiserror::Error;

use crate::links::read_frame;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Over the time that a keeper gives a command.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(45);

#[derive(Debug, Error)]
pub enum ClientError {
    #[error("{at}: {reason}")]
    Unreachable { at: SocketAddr, reason: String },
    /// It may or may not be taken in the end; the same command may be sent again.
    #[error("not known to be taken: {0}")]
    Unconfirmed(String),
    #[error("refused: {0}")]
    Refused(BadProposal),
    #[error("{at}: {reason}")]
    UnexpectedResponse { at: SocketAddr, reason: String },
}

fn request(at: SocketAddr, request: ClientRequest) -> Result<ClientResponse, ClientError> {
    init_small(4);
    let (response, responses) = mpsc::channel();
    go(move || drop(response.send(exchange(at, request))));
    responses.recv().unwrap_or_else(|_| {
        Err(ClientError::UnexpectedResponse { at, reason: "the question was dropped".into() })
    })
}

fn exchange(at: SocketAddr, request: ClientRequest) -> Result<ClientResponse, ClientError> {
    let unreachable = |reason: String| ClientError::Unreachable { at, reason };
    let mut conn = open(at, CONNECT_TIMEOUT).map_err(|error| unreachable(error.to_string()))?;
    conn.set_write_timeout(Some(CONNECT_TIMEOUT));
    conn.set_read_timeout(Some(RESPONSE_TIMEOUT));
    for frame in [
        Frame::Hello(Hello { protocol_version: PROTOCOL_VERSION, member: None }),
        Frame::ClientRequest(request),
    ] {
        let bytes = wire::encode(&frame).map_err(|error| unreachable(error.to_string()))?;
        conn.write(&bytes).map_err(|error| unreachable(error.to_string()))?;
    }
    match read_frame(&mut conn) {
        Ok(Frame::ClientResponse(response)) => Ok(*response),
        Ok(_) => Err(ClientError::UnexpectedResponse { at, reason: "answered what was not asked".into() }),
        // It was sent: what came of it is open.
        Err(reason) => Err(ClientError::Unconfirmed(format!("{at}: {reason}"))),
    }
}

/// Puts a command into the record: returns when a majority has it on disk.
pub fn propose(at: SocketAddr, command: Command) -> Result<Outcome, ClientError> {
    match request(at, ClientRequest::Propose(Box::new(command)))? {
        ClientResponse::Applied(outcome) => Ok(outcome),
        ClientResponse::Refused(error) => Err(ClientError::Refused(error)),
        ClientResponse::Unconfirmed(reason) => Err(ClientError::Unconfirmed(reason)),
        ClientResponse::Status(_) => {
            Err(ClientError::UnexpectedResponse { at, reason: "answered what was not asked".into() })
        }
    }
}

/// How the fleet stands, as this keeper sees it.
pub fn show(at: SocketAddr) -> Result<FleetStatus, ClientError> {
    match request(at, ClientRequest::Show)? {
        ClientResponse::Status(shown) => Ok(*shown),
        ClientResponse::Unconfirmed(reason) => Err(ClientError::UnexpectedResponse { at, reason }),
        _ => Err(ClientError::UnexpectedResponse { at, reason: "answered what was not asked".into() }),
    }
}
