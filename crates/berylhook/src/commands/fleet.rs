//! Sends requests to all entries on the platform's list.

use std::sync::Arc;

use berylhook_keyvalue::{HttpVmList, Vm, VmList};
use berylhook_operator::settings::EntrySettings;
use berylhook_peer::proto::{Answer, question};
use berylhook_peer::{Key, KeyRing};

use crate::args::FleetArgs;
use crate::serve::peers::send_request_as;

/// The replies of the entries.
pub(crate) struct FleetReplies {
    /// Replies, with the name of the entry.
    pub(crate) by_entry: Vec<(Arc<str>, Answer)>,
    /// Entries that did not reply.
    pub(crate) silent: Vec<Arc<str>>,
    /// The settings that were used to reach the entries.
    pub(crate) settings: EntrySettings,
}

/// Sends the same request to every entry.
pub(crate) async fn request_all(
    fleet: &FleetArgs,
    kind: question::Kind,
) -> anyhow::Result<FleetReplies> {
    let settings = crate::read_settings(&fleet.settings)?;
    let keys = KeyRing::new(Key::parse(&settings.trust.key)?, None);
    let vms = HttpVmList::new(&settings.platform.vm_list).read().await?;
    let entries: Vec<Vm> = vms.into_iter().filter(|vm| vm.service.is_empty()).collect();
    let requests: Vec<_> = entries
        .into_iter()
        .map(|vm| {
            let keys = keys.clone();
            let kind = kind.clone();
            tokio::task::spawn_local(async move {
                let reply = send_request_as(&keys, "operator", vm.address, kind).await;
                (vm.name, reply)
            })
        })
        .collect();
    let mut fleet_replies = FleetReplies {
        by_entry: Vec::new(),
        silent: Vec::new(),
        settings,
    };
    for request in requests {
        let (name, reply) = request.await?;
        match reply {
            Ok(reply) => fleet_replies.by_entry.push((name, reply)),
            Err(error) => {
                log::debug!("{name}: {error:#}");
                fleet_replies.silent.push(name);
            }
        }
    }
    Ok(fleet_replies)
}

/// Runs `future` on a runtime of its own.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    Ok(tasks.block_on(&runtime, future))
}
