//! The body of a response, by whose end its connection is without a request again.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use http_body::{Body, Frame, SizeHint};

use crate::connections::ConnectionGuard;

/// The body of a response. Its connection may be closed for another one again once this is dropped.
pub struct TrackedBody<B> {
    body: B,
    connection: Arc<ConnectionGuard>,
}

impl<B> TrackedBody<B> {
    /// The body of a response to the request on `connection`.
    #[must_use]
    pub fn new(body: B, connection: Arc<ConnectionGuard>) -> Self {
        Self { body, connection }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.on_response_end(Instant::now());
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
