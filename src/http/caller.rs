//! The client at the other end of a connection.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpStream;

use crate::id::RequestId;

use super::pending::PendingRequest;

/// The client that sent a request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Address of the caller.
    pub address: SocketAddr,
    pub(super) stream: TcpStream,
    pub(super) pending: Arc<PendingRequest>,
}

impl Caller {
    /// Sets the request id that the server's log lines use; later calls have no effect.
    pub fn set_id(&self, id: RequestId) {
        self.pending.set_id(id);
    }

    /// Waits until the caller has closed its side of the connection.
    ///
    /// Meaningful only after the body of the request was read. The disconnect of a caller that has
    /// pipelined its next request is not detected, because unread bytes precede the end of the stream.
    pub async fn disconnected(&self) {
        let mut byte = [0];
        if let Ok(1..) = self.stream.peek(&mut byte).await {
            std::future::pending::<()>().await;
        }
    }
}
