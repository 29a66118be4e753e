//! Client of a keeper: sends one request and waits for its response.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use elderstage_fleet::change::BadProposal;
use elderstage_fleet::record::{Command, Outcome};
use elderstage_fleet::wire::{
    self, ClientRequest, ClientResponse, FleetStatus, Frame, Hello, PROTOCOL_VERSION,
};
use elderstage_net::{connect, init_single_worker, spawn};
use thiserror::Error;

use crate::links::read_frame;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longer than the time after which a keeper answers that a command is not confirmed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(45);

/// Why a request did not succeed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection to the keeper, or the request could not be sent.
    #[error("{at}: {reason}")]
    Unreachable { at: SocketAddr, reason: String },
    /// The command may or may not be applied; the same command may be sent again.
    #[error("not confirmed: {0}")]
    Unconfirmed(String),
    /// The command is invalid; nothing has changed.
    #[error("refused: {0}")]
    Refused(BadProposal),
    /// The keeper sent no response to this request.
    #[error("{at}: {reason}")]
    UnexpectedResponse { at: SocketAddr, reason: String },
}

/// Runs the exchange on a coroutine and waits for it.
fn request(at: SocketAddr, request: ClientRequest) -> Result<ClientResponse, ClientError> {
    init_single_worker(4);
    let (response, responses) = mpsc::channel();
    spawn(move || drop(response.send(exchange(at, request))));
    responses.recv().unwrap_or_else(|_| {
        Err(ClientError::UnexpectedResponse { at, reason: "the request was dropped".into() })
    })
}

/// Connects, sends the request and reads the response.
fn exchange(at: SocketAddr, request: ClientRequest) -> Result<ClientResponse, ClientError> {
    let unreachable = |reason: String| ClientError::Unreachable { at, reason };
    let mut conn = connect(at, CONNECT_TIMEOUT).map_err(|error| unreachable(error.to_string()))?;
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
        Ok(_) => Err(ClientError::UnexpectedResponse {
            at,
            reason: "the response does not match the request".into(),
        }),
        // The request was sent, so its outcome is unknown.
        Err(reason) => Err(ClientError::Unconfirmed(format!("{at}: {reason}"))),
    }
}

/// Proposes a command; returns its outcome when a majority of the keepers has it on disk.
pub fn propose(at: SocketAddr, command: Command) -> Result<Outcome, ClientError> {
    match request(at, ClientRequest::Propose(Box::new(command)))? {
        ClientResponse::Applied(outcome) => Ok(outcome),
        ClientResponse::Refused(error) => Err(ClientError::Refused(error)),
        ClientResponse::Unconfirmed(reason) => Err(ClientError::Unconfirmed(reason)),
        ClientResponse::Status(_) => Err(ClientError::UnexpectedResponse {
            at,
            reason: "the response does not match the request".into(),
        }),
    }
}

/// Returns the state of the fleet as this keeper sees it.
pub fn show(at: SocketAddr) -> Result<FleetStatus, ClientError> {
    match request(at, ClientRequest::Show)? {
        ClientResponse::Status(status) => Ok(*status),
        ClientResponse::Unconfirmed(reason) => Err(ClientError::UnexpectedResponse { at, reason }),
        _ => Err(ClientError::UnexpectedResponse {
            at,
            reason: "the response does not match the request".into(),
        }),
    }
}
