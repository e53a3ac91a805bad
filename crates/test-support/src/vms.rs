//! A stand-in for the platform's VM list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hyper::StatusCode;
use serde_json::{Value, json};

use crate::http::{self, NoResponse, Server};

#[derive(Clone)]
struct ListedVm {
    name: String,
    address: SocketAddr,
    data_centre: String,
    service: String,
    is_leaving: bool,
}

#[derive(Default)]
struct State {
    vms: Vec<ListedVm>,
    is_down: bool,
}

/// Handle of a running stand-in.
pub struct VmListStandIn {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl VmListStandIn {
    /// Starts an empty list on a free port.
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = Arc::clone(&state);
        let server = Server::start(Arc::new(move |_| {
            let state = Arc::clone(&handler_state);
            Box::pin(async move { respond(&state) })
        }))
        .await;
        Self { state, server }
    }

    /// URL of the list.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}/vms", self.server.address)
    }

    /// Adds a VM as live, replacing one of the same name.
    pub fn add(&self, name: &str, address: SocketAddr, data_centre: &str, service: &str) {
        self.remove(name);
        self.lock().vms.push(ListedVm {
            name: name.to_owned(),
            address,
            data_centre: data_centre.to_owned(),
            service: service.to_owned(),
            is_leaving: false,
        });
    }

    /// Marks a VM as leaving.
    pub fn mark_leaving(&self, name: &str) {
        for vm in &mut self.lock().vms {
            vm.is_leaving |= vm.name == name;
        }
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        self.lock().vms.retain(|vm| vm.name != name);
    }

    /// Makes the list unavailable, or available again.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no handler panics")
    }
}

fn respond(state: &Mutex<State>) -> Result<http::Response, NoResponse> {
    let state = state.lock().expect("no handler panics");
    if state.is_down {
        return Err(NoResponse);
    }
    let vms: Vec<Value> = state
        .vms
        .iter()
        .map(|vm| {
            json!({
                "name": vm.name,
                "address": vm.address.to_string(),
                "data_centre": vm.data_centre,
                "service": vm.service,
                "state": if vm.is_leaving { "leaving" } else { "live" },
            })
        })
        .collect();
    Ok(http::json(StatusCode::OK, &Value::from(vms)))
}
