//! The daemons' settings in their checked form.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ini_file::{IniError, IniFile, Section};

/// Settings of `berylhook serve`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The process.
    pub node: Node,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where other entries connect for digests; an `nng` address.
    pub digest_listen: SocketAddr,
    /// Threads that carry traffic, beside the one for control.
    pub traffic_threads: usize,
    /// The platform.
    pub platform: Platform,
    /// Shared keys.
    pub trust: Trust,
    /// Logs.
    pub logs: Logs,
    /// Metrics.
    pub metrics: Metrics,
    /// Stop waiting for requests in flight after this; 0 waits for all.
    pub drain_bound_ms: u64,
    /// How long to keep accepting after readiness went off.
    pub drain_delay_ms: u64,
}

/// Settings of `berylhook-agent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The process.
    pub node: Node,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// The target beside the agent.
    pub target: SocketAddr,
    /// The catalogue entry the target serves.
    pub service: Arc<str>,
    /// Requests at a time; 0 stands for no bound.
    pub concurrency: u32,
    /// The platform; its list of VMs is not used by the agent.
    pub platform: Platform,
    /// Shared keys.
    pub trust: Trust,
    /// Logs.
    pub logs: Logs,
    /// Time to live of the agent's lease on key shards.
    pub lease_ttl_s: u32,
    /// Stop waiting for requests in flight after this; 0 waits for all.
    pub drain_bound_ms: u64,
}

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name; the VM's name in the platform's list.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the key-value service.
    pub key_value: Arc<str>,
    /// URL of the list of VMs.
    pub vm_list: Arc<str>,
}

/// The keys that berylhook's processes share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    /// The key in use.
    pub key: Arc<str>,
    /// A key still accepted during a rotation.
    pub previous_key: Option<Arc<str>>,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logs {
    /// Level, such as `info`.
    pub level: Arc<str>,
    /// One JSON object a line instead of text.
    pub json: bool,
}

/// Metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// Where to send statsd datagrams; nowhere unless set.
    pub statsd: Option<SocketAddr>,
}

const ADDRESS_REMEDY: &str = "write an IP number and port, such as 127.0.0.1:8080";
const MS_REMEDY: &str = "write a whole number of milliseconds";
const DEFAULT_DRAIN_DELAY_MS: u64 = 5_000;
/// Entry VMs are thin, and more threads mostly wake each other.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
const DEFAULT_LEASE_TTL_S: u32 = 10;
const MIN_LEASE_TTL_S: u32 = 2;

impl EntrySettings {
    /// Checks the settings file of an entry.
    ///
    /// # Errors
    ///
    /// Names the first line that is not allowed, and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(text)?;
        file.reject_unknown_sections(&["entry", "platform", "trust", "logs", "metrics"])?;
        let section = required_section(&file, "entry")?;
        section.reject_unknown_settings(&[
            "name",
            "data_centre",
            "listen",
            "digest_listen",
            "traffic_threads",
            "drain_bound_ms",
            "drain_delay_ms",
        ])?;
        Ok(Self {
            node: parse_node(section)?,
            listen: section.parse("listen", ADDRESS_REMEDY)?,
            digest_listen: section.parse("digest_listen", ADDRESS_REMEDY)?,
            traffic_threads: parse_threads(section)?,
            platform: parse_platform(&file)?,
            trust: parse_trust(&file)?,
            logs: parse_logs(&file)?,
            metrics: parse_metrics(&file)?,
            drain_bound_ms: section.parse_or("drain_bound_ms", 0, MS_REMEDY)?,
            drain_delay_ms: section.parse_or(
                "drain_delay_ms",
                DEFAULT_DRAIN_DELAY_MS,
                MS_REMEDY,
            )?,
        })
    }
}

impl AgentSettings {
    /// Checks the settings file of an agent.
    ///
    /// # Errors
    ///
    /// Names the first line that is not allowed, and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(text)?;
        file.reject_unknown_sections(&["agent", "platform", "trust", "logs"])?;
        let section = required_section(&file, "agent")?;
        section.reject_unknown_settings(&[
            "name",
            "data_centre",
            "listen",
            "target",
            "service",
            "concurrency",
            "lease_ttl_s",
            "drain_bound_ms",
        ])?;
        Ok(Self {
            node: parse_node(section)?,
            listen: section.parse("listen", ADDRESS_REMEDY)?,
            target: section.parse("target", ADDRESS_REMEDY)?,
            service: Arc::clone(&section.required("service")?.value),
            concurrency: section.parse_or("concurrency", 0, "write a whole number")?,
            platform: parse_platform(&file)?,
            trust: parse_trust(&file)?,
            logs: parse_logs(&file)?,
            lease_ttl_s: parse_ttl(section)?,
            drain_bound_ms: section.parse_or("drain_bound_ms", 0, MS_REMEDY)?,
        })
    }
}

fn parse_threads(section: &Section) -> Result<usize, IniError> {
    let remedy = "write a whole number of threads, from 1 to 64";
    let threads = section.parse_or("traffic_threads", DEFAULT_TRAFFIC_THREADS, remedy)?;
    match section.get("traffic_threads") {
        Some(setting) if !(1..=64).contains(&threads) => {
            Err(section.invalid_value(setting, remedy))
        }
        _ => Ok(threads),
    }
}

fn parse_ttl(section: &Section) -> Result<u32, IniError> {
    let remedy = "write a whole number of seconds, at least 2";
    let ttl_s = section.parse_or("lease_ttl_s", DEFAULT_LEASE_TTL_S, remedy)?;
    match section.get("lease_ttl_s") {
        Some(setting) if ttl_s < MIN_LEASE_TTL_S => Err(section.invalid_value(setting, remedy)),
        _ => Ok(ttl_s),
    }
}

fn required_section<'a>(file: &'a IniFile, title: &str) -> Result<&'a Section, IniError> {
    file.section(title).ok_or_else(|| IniError::UnknownSection {
        line: 1,
        section: "(none)".to_owned(),
        hint: format!("; the file lacks a [{title}] section: add it"),
    })
}

fn parse_node(section: &Section) -> Result<Node, IniError> {
    Ok(Node {
        name: Arc::clone(&section.required("name")?.value),
        data_centre: Arc::clone(&section.required("data_centre")?.value),
    })
}

fn parse_platform(file: &IniFile) -> Result<Platform, IniError> {
    let section = required_section(file, "platform")?;
    section.reject_unknown_settings(&["key_value", "vm_list"])?;
    Ok(Platform {
        key_value: parse_url(section, "key_value")?,
        vm_list: parse_url(section, "vm_list")?,
    })
}

fn parse_url(section: &Section, name: &str) -> Result<Arc<str>, IniError> {
    let setting = section.required(name)?;
    if setting.value.starts_with("http://") {
        Ok(Arc::clone(&setting.value))
    } else {
        Err(section.invalid_value(setting, "write a URL such as http://127.0.0.1:2379"))
    }
}

fn parse_trust(file: &IniFile) -> Result<Trust, IniError> {
    let section = required_section(file, "trust")?;
    section.reject_unknown_settings(&["key", "previous_key"])?;
    Ok(Trust {
        key: parse_key(section, section.required("key")?)?,
        previous_key: match section.get("previous_key") {
            Some(setting) => Some(parse_key(section, setting)?),
            None => None,
        },
    })
}

fn parse_key(section: &Section, setting: &crate::ini_file::Setting) -> Result<Arc<str>, IniError> {
    let is_hex = setting.value.bytes().all(|byte| byte.is_ascii_hexdigit());
    if setting.value.len() == 64 && is_hex {
        return Ok(Arc::clone(&setting.value));
    }
    // The value is a secret, so the error does not repeat it.
    let shown = crate::ini_file::Setting {
        value: "...".into(),
        ..setting.clone()
    };
    Err(section.invalid_value(&shown, "write 32 random bytes as 64 hex digits"))
}

fn parse_logs(file: &IniFile) -> Result<Logs, IniError> {
    let defaults = Logs {
        level: "info".into(),
        json: false,
    };
    let Some(section) = file.section("logs") else {
        return Ok(defaults);
    };
    section.reject_unknown_settings(&["level", "json"])?;
    let level = match section.get("level") {
        None => defaults.level,
        Some(setting) => match &*setting.value {
            "error" | "warn" | "info" | "debug" | "trace" => Arc::clone(&setting.value),
            _ => {
                let remedy = "write one of error, warn, info, debug, trace";
                return Err(section.invalid_value(setting, remedy));
            }
        },
    };
    Ok(Logs {
        level,
        json: section.parse_or("json", false, "write true or false")?,
    })
}

fn parse_metrics(file: &IniFile) -> Result<Metrics, IniError> {
    let Some(section) = file.section("metrics") else {
        return Ok(Metrics { statsd: None });
    };
    section.reject_unknown_settings(&["statsd"])?;
    let statsd = match section.get("statsd") {
        Some(_) => Some(section.parse("statsd", ADDRESS_REMEDY)?),
        None => None,
    };
    Ok(Metrics { statsd })
}
