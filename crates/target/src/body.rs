//! Streamed body of a target's response.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::TargetError;

/// Body of a target's response. Dropping it cancels the call at the target.
pub struct TargetResponseBody {
    incoming: Incoming,
    connection: Option<tokio::task::JoinHandle<()>>,
}

impl TargetResponseBody {
    pub(crate) fn new(incoming: Incoming, connection: Option<tokio::task::JoinHandle<()>>) -> Self {
        Self {
            incoming,
            connection,
        }
    }

    /// Returns the next chunk, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// If the target closed the connection before the body was complete.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, TargetError> {
        loop {
            match self.incoming.frame().await {
                None => return Ok(None),
                Some(Err(error)) => return Err(TargetError::Interrupted(error.to_string())),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return Ok(Some(data)),
                    Err(_trailers) => {}
                },
            }
        }
    }
}

impl Drop for TargetResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.abort();
        }
    }
}
