//! The settings and catalogue that most tests start from, and the processes
//! wired together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::calls::Caller;
use crate::{Daemon, KeyValueStandIn, Link, VmListStandIn, free_address};

/// The shared key of all test processes.
pub const TRUST_KEY: &str = "5f0c1d7a9e3b4c8d6f2a1b0c9d8e7f6a5b4c3d2e1f0a9b8c7d6e5f4a3b2c1d0e";

/// The bearer key of the account `paddle-desk`.
pub const DESK_KEY: &str = "desk-key";

/// The bearer key of the account `kingston-claims`.
pub const CLAIMS_KEY: &str = "claims-key";

/// A catalogue in the shape of today's: one model and one plain service whose
/// calls must not be repeated.
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
        write!(text, "{byte:02x}").expect("strings can be written to");
        text
    })
}

/// Writes each section of a catalogue file as the first version of its item.
pub fn store_catalogue(key_value: &KeyValueStandIn, catalogue: &str) {
    let file = berylhook_operator::IniFile::parse(catalogue).expect("the catalogue is INI");
    for section in &file.sections {
        store_section(key_value, section, 1);
    }
}

/// Writes one section as the given version of its item.
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

/// The platform and the entries and agents of one test.
pub struct Cluster {
    /// The key-value service.
    pub key_value: KeyValueStandIn,
    /// The list of VMs.
    pub vms: VmListStandIn,
    /// Added to the `[entry]` section of each entry.
    pub entry_settings: String,
    /// Added to the `[agent]` section of each agent.
    pub agent_settings: String,
}

/// A running entry.
pub struct EntryProcess {
    /// Its process.
    pub daemon: Daemon,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other entries connect.
    pub digest_address: SocketAddr,
    /// Its settings.
    pub settings: String,
}

/// A running agent.
pub struct AgentProcess {
    /// Its process.
    pub daemon: Daemon,
    /// Where entries connect, unless a link stands between.
    pub address: SocketAddr,
    /// Its settings.
    pub settings: String,
}

/// An agent that entries reach through a link that faults can be done to.
pub struct LinkedAgent {
    /// The agent.
    pub agent: AgentProcess,
    /// The link in front of it.
    pub link: Link,
}

/// How long a process may take to become ready on a busy machine.
const READY_BOUND: Duration = Duration::from_mins(1);

impl Cluster {
    /// The platform with [`catalogue`] in force and no process yet.
    pub async fn start() -> Self {
        let cluster = Self::empty().await;
        store_catalogue(&cluster.key_value, &catalogue());
        cluster
    }

    /// The platform with nothing in the catalogue.
    pub async fn empty() -> Self {
        Self {
            key_value: KeyValueStandIn::start().await,
            vms: VmListStandIn::start().await,
            entry_settings: "drain_delay_ms = 0\n".to_owned(),
            agent_settings: "lease_ttl_s = 2\n".to_owned(),
        }
    }

    /// Starts an entry and lists it.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    #[must_use]
    pub fn start_entry(&self, name: &str) -> EntryProcess {
        self.start_entry_with_list(name, &self.vms)
    }

    /// Starts an entry that reads another list of VMs, and lists it in both.
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
        let daemon = Daemon::start("berylhook", &["serve"], &settings).expect("the entry starts");
        EntryProcess {
            daemon,
            address,
            digest_address,
            settings,
        }
    }

    /// Starts an agent beside `target` and lists it.
    #[must_use]
    pub fn start_agent(&self, name: &str, service: &str, target: SocketAddr) -> AgentProcess {
        let agent = self.start_unlisted_agent(name, service, target);
        self.vms.add(name, agent.address, "cairo-a", service);
        agent
    }

    /// Starts an agent beside `target` and lists a link in front of it.
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

    /// Starts an agent beside `target`.
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

    /// Starts an agent that reaches the key-value service at `key_value`.
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
        let daemon = Daemon::start("berylhook-agent", &[], &settings).expect("the agent starts");
        AgentProcess {
            daemon,
            address,
            settings,
        }
    }
}

fn common_settings(key_value: &str, vm_list: &str) -> String {
    format!(
        "[platform]\nkey_value = {key_value}\nvm_list = {vm_list}\n\
         [trust]\nkey = {TRUST_KEY}\n[logs]\nlevel = info\n"
    )
}

impl EntryProcess {
    /// Starts the process anew with the same settings.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    pub fn restart(&mut self) {
        // It listens on the addresses of the former, which must be free: a process that was
        // told to end may not have got there yet on a busy machine.
        self.daemon.kill();
        self.daemon = Daemon::start("berylhook", &["serve"], &self.settings).expect("it starts");
    }
}

impl AgentProcess {
    /// Starts the process anew with the same settings.
    ///
    /// # Panics
    ///
    /// If the binary has not been built.
    pub fn restart(&mut self) {
        // As above.
        self.daemon.kill();
        self.daemon = Daemon::start("berylhook-agent", &[], &self.settings).expect("it starts");
    }
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// If it does not hold within a minute.
pub async fn until<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < READY_BOUND, "waited in vain for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until an entry serves calls that must not be repeated.
pub async fn until_plain_service_ready(entry: &EntryProcess) {
    let caller = Caller::new(DESK_KEY);
    until("the plain service answers", || async {
        let answered = caller
            .post(entry.address, "/guide-push/warm-up", "", &[])
            .await;
        answered.outcome == "done"
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

/// Waits until an entry answers model requests.
pub async fn until_serving(entry: &EntryProcess, model: &str) {
    let caller = Caller::new(DESK_KEY);
    until("the model answers", || async {
        let answered = caller
            .complete(entry.address, model, "ping", 1, false)
            .await;
        answered.status == 200
    })
    .await;
}
