//! The platform's list of live and leaving VMs. It lags.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::http::{CallError, JsonClient};

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The list could not be read.
#[derive(Debug, Error)]
#[error("the list of VMs cannot be read ({0}); check `vm_list` under [platform]")]
pub struct VmListError(String);

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// About to go; gets no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Arc<str>,
    /// Where berylhook's process on the VM listens for its peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The catalogue entry whose target runs there; empty on an entry VM.
    #[serde(default)]
    pub service: Arc<str>,
    /// What the platform says of it.
    pub state: VmState,
}

/// A boxed future, so that the list can be swapped behind a trait object.
pub type VmListFuture<'a> = Pin<Box<dyn Future<Output = Result<Vec<Vm>, VmListError>> + Send + 'a>>;

/// The list as the rest of the system sees it.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> VmListFuture<'_>;
}

/// The list as a JSON document over HTTP.
pub struct HttpVmList {
    client: JsonClient,
}

impl HttpVmList {
    /// A client to the list at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self {
            client: JsonClient::new(url, CALL_TIMEOUT),
        }
    }
}

impl VmList for HttpVmList {
    fn read(&self) -> VmListFuture<'_> {
        Box::pin(async move {
            self.client.get("").await.map_err(|error| match error {
                CallError::NotSent(why) | CallError::Unanswered(why) => VmListError(why),
                CallError::Rejected(status, why) => VmListError(format!("status {status}: {why}")),
            })
        })
    }
}
