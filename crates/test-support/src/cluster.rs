//! The settings and catalogue that most tests start from, and a cluster of entries and agents
//! connected to the platform's stand-ins.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::calls::Caller;
use crate::{Daemon, KeyValueStandIn, Link, LogOutput, VmListStandIn, free_address};

/// The trust key that all test processes share.
pub const TRUST_KEY: &str = "5f0c1d7a9e3b4c8d6f2a1b0c9d8e7f6a5b4c3d2e1f0a9b8c7d6e5f4a3b2c1d0e";

/// The bearer key of the account `paddle-desk`.
pub const DESK_KEY: &str = "desk-key";

/// The bearer key of the account `kingston-claims`.
pub const CLAIMS_KEY: &str = "claims-key";

/// A catalogue with the same kinds of entries as the production catalogue: one model, and one plain
/// service whose calls must not be repeated.
#[must_use]
pub fn catalogue() -> String {
    let desk = hex(&Sha256::digest(DESK_KEY));
    let claims = hex(&Sha256::digest(CLAIMS_KEY));
    format!(
        "[entry briefing-llm]\n\
         owner = nilewake\n\
         class = interactive\n\
         kind = model\n\
         resume = yes\n\
         deadline_ms = 20000\n\
         \n\
         [entry guide-push]\n\
         owner = nilewake\n\
         class = critical\n\
         kind = plain\n\
         path = /guide-push\n\
         repeat = never\n\
         deadline_ms = 10000\n\
         \n\
         [account paddle-desk]\n\
         owner = nilewake\n\
         key_sha256 = {desk}\n\
         entries = briefing-llm, guide-push\n\
         \n\
         [account kingston-claims]\n\
         owner = lignum-bay\n\
         key_sha256 = {claims}\n\
         entries = briefing-llm\n"
    )
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

/// Stores each section of a catalogue file as the first version of its item.
pub fn store_catalogue(key_value: &KeyValueStandIn, catalogue: &str) {
    let file = berylhook_operator::IniFile::parse(catalogue).expect("the catalogue is INI");
    for section in &file.sections {
        store_section(key_value, section, 1);
    }
}

/// Stores one section as the given version of its item.
pub fn store_section(
    key_value: &KeyValueStandIn,
    section: &berylhook_operator::Section,
    version: u64,
) {
    let id = section.title.parse().expect("the title names an item");
    let settings: serde_json::Map<_, _> = section
        .settings
        .iter()
        .map(|setting| (setting.name.to_string(), setting.value.to_string().into()))
        .collect();
    let document = serde_json::json!({
        "change_id": "test",
        "author": "test",
        "applied_unix_ms": 0,
        "settings": settings,
    });
    let key = berylhook_operator::document::version_key(&id, version);
    key_value.put_raw(&key, document.to_string().as_bytes());
}

/// The platform's stand-ins, and the settings of the entries and agents that are started on them.
pub struct Cluster {
    /// The key-value service.
    pub key_value: KeyValueStandIn,
    /// The VM list.
    pub vms: VmListStandIn,
    /// Lines added to the `[entry]` section of each entry's settings.
    pub entry_settings: String,
    /// Lines added to the `[agent]` section of each agent's settings.
    pub agent_settings: String,
    /// Where the processes write their logs.
    pub log_output: LogOutput,
}

/// A running entry process.
pub struct EntryProcess {
    /// Handle of the process.
    pub daemon: Daemon,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other entries.
    pub digest_address: SocketAddr,
    /// Content of its settings file.
    pub settings: String,
}

/// A running agent process.
pub struct AgentProcess {
    /// Handle of the process.
    pub daemon: Daemon,
    /// Address for entries; a [`LinkedAgent`] is reached through its link instead.
    pub address: SocketAddr,
    /// Content of its settings file.
    pub settings: String,
}

/// An agent that entries reach through a link that injects faults.
pub struct LinkedAgent {
    /// The agent.
    pub agent: AgentProcess,
    /// The link in front of the agent.
    pub link: Link,
}

/// Time after which [`until`] fails; processes start slowly on a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

impl Cluster {
    /// Starts the platform's stand-ins with [`catalogue`] stored, and no processes.
    pub async fn start() -> Self {
        let cluster = Self::empty().await;
        store_catalogue(&cluster.key_value, &catalogue());
        cluster
    }

    /// Starts the platform's stand-ins with an empty catalogue, and no processes.
    pub async fn empty() -> Self {
        Self {
            key_value: KeyValueStandIn::start().await,
            vms: VmListStandIn::start().await,
            entry_settings: "drain_delay_ms = 0\n".to_owned(),
            agent_settings: "lease_ttl_s = 2\n".to_owned(),
            log_output: LogOutput::File,
        }
    }

    fn start_daemon(&self, binary_name: &str, arguments: &[&str], settings: &str) -> Daemon {
        let daemon =
            Daemon::start_with_log_output(binary_name, arguments, settings, self.log_output);
        daemon.expect("the process starts")
    }

    /// Starts an entry and adds it to the VM list.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    #[must_use]
    pub fn start_entry(&self, name: &str) -> EntryProcess {
        self.start_entry_with_list(name, &self.vms)
    }

    /// Starts an entry that reads the VM list `vms`, and adds the entry to that list and to the
    /// cluster's own.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    #[must_use]
    pub fn start_entry_with_list(&self, name: &str, vms: &VmListStandIn) -> EntryProcess {
        let address = free_address();
        let digest_address = free_address();
        let settings = format!(
            "[entry]\nname = {name}\ndata_centre = cairo-a\nlisten = {address}\n\
             digest_listen = {digest_address}\n{}{}",
            self.entry_settings,
            common_settings(&self.key_value.url(), &vms.url()),
        );
        self.vms.add(name, digest_address, "cairo-a", "");
        vms.add(name, digest_address, "cairo-a", "");
        let daemon = self.start_daemon("berylhook", &["serve"], &settings);
        EntryProcess {
            daemon,
            address,
            digest_address,
            settings,
        }
    }

    /// Starts an agent for `target` and adds it to the VM list.
    #[must_use]
    pub fn start_agent(&self, name: &str, service: &str, target: SocketAddr) -> AgentProcess {
        let agent = self.start_unlisted_agent(name, service, target);
        self.vms.add(name, agent.address, "cairo-a", service);
        agent
    }

    /// Starts an agent for `target`, and adds a link in front of the agent to the VM list.
    pub async fn start_linked_agent(
        &self,
        name: &str,
        service: &str,
        target: SocketAddr,
    ) -> LinkedAgent {
        let agent = self.start_unlisted_agent(name, service, target);
        let link = Link::start(agent.address).await;
        self.vms.add(name, link.address, "cairo-a", service);
        LinkedAgent { agent, link }
    }

    /// Starts an agent for `target` without adding it to the VM list.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    #[must_use]
    pub fn start_unlisted_agent(
        &self,
        name: &str,
        service: &str,
        target: SocketAddr,
    ) -> AgentProcess {
        self.start_agent_with_key_value(name, service, target, &self.key_value.url())
    }

    /// Starts an unlisted agent that uses the key-value service at the URL `key_value`.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    #[must_use]
    pub fn start_agent_with_key_value(
        &self,
        name: &str,
        service: &str,
        target: SocketAddr,
        key_value: &str,
    ) -> AgentProcess {
        let address = free_address();
        let settings = format!(
            "[agent]\nname = {name}\ndata_centre = cairo-a\nlisten = {address}\n\
             target = {target}\nservice = {service}\n{}{}",
            self.agent_settings,
            common_settings(key_value, &self.vms.url()),
        );
        let daemon = self.start_daemon("berylhook-agent", &[], &settings);
        AgentProcess {
            daemon,
            address,
            settings,
        }
    }
}

fn common_settings(key_value: &str, vm_list_url: &str) -> String {
    format!(
        "[platform]\nkey_value = {key_value}\nvm_list = {vm_list_url}\n\
         [trust]\nkey = {TRUST_KEY}\n[logs]\nlevel = info\n"
    )
}

impl EntryProcess {
    /// Kills the process and starts it again with the same settings.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    pub fn restart(&mut self) {
        // The new process binds the same addresses. A process that was asked to terminate may still
        // hold them on a busy machine, so it is killed first.
        self.daemon.kill();
        self.daemon = Daemon::start("berylhook", &["serve"], &self.settings).expect("it starts");
    }
}

impl AgentProcess {
    /// Kills the process and starts it again with the same settings.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    pub fn restart(&mut self) {
        // Frees the address; see `EntryProcess::restart`.
        self.daemon.kill();
        self.daemon = Daemon::start("berylhook-agent", &[], &self.settings).expect("it starts");
    }
}

/// Polls `condition` until it returns true.
///
/// # Panics
///
/// If it is still false after a minute.
pub async fn until<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting until {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until an entry serves calls of the plain service, which must not be repeated.
pub async fn until_plain_service_ready(entry: &EntryProcess) {
    let caller = Caller::new(DESK_KEY);
    until("the plain service responds", || async {
        let result = caller
            .post(entry.address, "/guide-push/warm-up", "", &[])
            .await;
        result.outcome == "done"
    })
    .await;
}

/// Waits until an entry is ready.
pub async fn until_ready(entry: &EntryProcess) {
    let caller = Caller::new(DESK_KEY);
    until("the entry is ready", || async {
        caller.get(entry.address, "/readyz").await.status == 200
    })
    .await;
}

/// Waits until an entry serves requests for `model`.
pub async fn until_serving(entry: &EntryProcess, model: &str) {
    let caller = Caller::new(DESK_KEY);
    until("the model responds", || async {
        let result = caller
            .complete(entry.address, model, "ping", 1, false)
            .await;
        result.status == 200
    })
    .await;
}
