//! Asking all entries of the platform's list.

use std::sync::Arc;

use berylhook_keyvalue::{HttpVmList, Vm, VmList};
use berylhook_operator::settings::EntrySettings;
use berylhook_peer::proto::{Answer, question};
use berylhook_peer::{Key, KeyRing};

use crate::args::FleetArgs;
use crate::serve::peers::ask_as;

/// What the entries answered.
pub(crate) struct Answers {
    /// Answers by entry.
    pub(crate) answered: Vec<(Arc<str>, Answer)>,
    /// Entries that did not answer.
    pub(crate) silent: Vec<Arc<str>>,
    /// The settings that were used to ask.
    pub(crate) settings: EntrySettings,
}

/// Asks every entry the same question.
pub(crate) async fn ask_all(fleet: &FleetArgs, kind: question::Kind) -> anyhow::Result<Answers> {
    let settings = crate::read_settings(&fleet.settings)?;
    let keys = KeyRing::new(Key::parse(&settings.trust.key)?, None);
    let vms = HttpVmList::new(&settings.platform.vm_list).read().await?;
    let entries: Vec<Vm> = vms.into_iter().filter(|vm| vm.service.is_empty()).collect();
    let asked: Vec<_> = entries
        .into_iter()
        .map(|vm| {
            let keys = keys.clone();
            let kind = kind.clone();
            tokio::task::spawn_local(async move {
                let answer = ask_as(&keys, "operator", vm.address, kind).await;
                (vm.name, answer)
            })
        })
        .collect();
    let mut answers = Answers {
        answered: Vec::new(),
        silent: Vec::new(),
        settings,
    };
    for asked in asked {
        let (name, answer) = asked.await?;
        match answer {
            Ok(answer) => answers.answered.push((name, answer)),
            Err(error) => {
                log::debug!("{name}: {error:#}");
                answers.silent.push(name);
            }
        }
    }
    Ok(answers)
}

/// Runs `work` on a runtime of its own.
pub(crate) fn block_on<T>(work: impl Future<Output = T>) -> anyhow::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    Ok(tasks.block_on(&runtime, work))
}
