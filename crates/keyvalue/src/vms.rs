//! The platform's list of live and leaving VMs. The list lags behind the state of the VMs.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use berylhook_calls::{Call, Connection};
use serde::{Deserialize, Serialize};
use thiserror::Error;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The list could not be read.
#[derive(Clone, Debug, Error)]
#[error("the list of VMs cannot be read ({0}); check `vm_list` under [platform]")]
pub struct VmListError(String);

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be removed; gets no new requests.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Arc<str>,
    /// Address at which berylhook's process on the VM listens for its peers.
    pub address: SocketAddr,
    /// The VM's data centre.
    pub data_centre: Arc<str>,
    /// The catalogue entry whose target runs on the VM; empty for a VM of an entry process.
    #[serde(default)]
    pub service: Arc<str>,
    /// The VM's state.
    pub state: VmState,
}

/// A boxed future, so that [`VmList`] can be used as a trait object.
pub type VmListFuture<'a> = Pin<Box<dyn Future<Output = Result<Vec<Vm>, VmListError>> + Send + 'a>>;

/// Client interface of the VM list.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> VmListFuture<'_>;
}

/// Client of a VM list that is served as a JSON document over HTTP.
pub struct HttpVmList {
    address: Result<SocketAddr, VmListError>,
    path: String,
}

impl HttpVmList {
    /// Creates a client of the list at `url`, such as `http://10.0.0.1:2380/vms`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        let without_scheme = url.strip_prefix("http://").unwrap_or(url);
        let (address, path) = without_scheme
            .split_once('/')
            .unwrap_or((without_scheme, ""));
        Self {
            address: address
                .parse()
                .map_err(|_| VmListError(format!("`{address}` is not an IP address and port"))),
            path: format!("/{path}"),
        }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> VmListFuture<'_> {
        Box::pin(async move {
            let address = self.address.clone()?;
            let call = Call::get(self.path.clone(), CALL_TIMEOUT);
            let response = Connection::new(address).call_json(call).await;
            response.map_err(|error| VmListError(error.to_string()))
        })
    }
}
