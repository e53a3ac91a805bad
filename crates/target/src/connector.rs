//! Opens the connections of the pool, and bounds what a target may send before a response.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use berylhook_response_head::{HeadLimit, HeadLimited};
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

type ConnectError = <HttpConnector as Service<Uri>>::Error;
type Connected = TokioIo<HeadLimited<TcpStream>>;

/// A connector of the pool. The limit of a connection is an extension of the responses over it.
#[derive(Clone, Debug)]
pub(crate) struct LimitedConnector {
    address: SocketAddr,
    connector: HttpConnector,
}

impl LimitedConnector {
    /// Limits the connections that `connector` opens to `address`.
    pub(crate) fn new(address: SocketAddr, connector: HttpConnector) -> Self {
        Self { address, connector }
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = Connected;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Connected, ConnectError>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let address = self.address;
        let connecting = self.connector.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let stream = HeadLimited::new(stream, address, HeadLimit::default());
            Ok(TokioIo::new(stream))
        })
    }
}
