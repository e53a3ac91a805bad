//! Streamed body of a target's response.

use berylhook_response_head::{BodyEnd, LiftedLimit};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::TargetError;

/// Body of a target's response. Dropping it cancels the call at the target.
pub struct TargetResponseBody {
    incoming: Incoming,
    body_end: BodyEnd,
    has_data: bool,
    /// Held until the end, as the connection may carry a further response.
    _limit: Option<LiftedLimit>,
    connection: Option<tokio::task::JoinHandle<()>>,
}

impl TargetResponseBody {
    pub(crate) fn new(
        incoming: Incoming,
        body_end: BodyEnd,
        limit: Option<LiftedLimit>,
        connection: Option<tokio::task::JoinHandle<()>>,
    ) -> Self {
        Self {
            incoming,
            body_end,
            has_data: false,
            _limit: limit,
            connection,
        }
    }

    /// Whether only the close of the connection marks the end of the body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.body_end == BodyEnd::Connection
    }

    /// Returns the next chunk, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// If the target closed the connection before the body was complete, or right after a head that
    /// gives no length.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, TargetError> {
        loop {
            match self.incoming.frame().await {
                None if self.ends_with_connection() && !self.has_data => {
                    return Err(TargetError::Interrupted(
                        "neither a length nor a body follows the head".to_owned(),
                    ));
                }
                None => return Ok(None),
                Some(Err(error)) => return Err(TargetError::Interrupted(error.to_string())),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        self.has_data |= !data.is_empty();
                        return Ok(Some(data));
                    }
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
