//! Validated settings of the daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::ini_file::{IniError, IniFile, Section};
use crate::process_limits::ProcessLimits;

/// Settings of `berylhook serve`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// Identity of the process.
    pub node: Node,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which other entry processes connect to compare catalogue digests, by `nng`.
    pub digest_listen: SocketAddr,
    /// Number of threads that carry traffic, in addition to the control thread.
    pub traffic_threads: usize,
    /// What the VM allows the process.
    pub limits: ProcessLimits,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Secret keys shared by all processes.
    pub trust: Trust,
    /// Log output.
    pub logs: Logs,
    /// Metrics output.
    pub metrics: Metrics,
    /// Maximum time to wait for requests in flight when stopping; 0 waits without a limit.
    pub drain_bound_ms: u64,
    /// How long to keep accepting requests after the readiness check reports not ready.
    pub drain_delay_ms: u64,
}

/// Settings of `berylhook-agent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Identity of the process.
    pub node: Node,
    /// Address on which entries connect.
    pub listen: SocketAddr,
    /// Address of the target beside the agent.
    pub target: SocketAddr,
    /// Name of the catalogue entry that the target serves.
    pub service: Arc<str>,
    /// Maximum number of concurrent requests; 0 means no limit.
    pub concurrency: u32,
    /// Addresses of the platform's services. The agent does not use the list of VMs.
    pub platform: Platform,
    /// Secret keys shared by all processes.
    pub trust: Trust,
    /// Log output.
    pub logs: Logs,
    /// Time to live of the agent's lease. While the lease is valid, the agent is the home of its
    /// key shards: it keeps the records of their idempotency keys.
    pub lease_ttl_s: u32,
    /// Maximum time to wait for requests in flight when stopping; 0 waits without a limit.
    pub drain_bound_ms: u64,
}

/// Identity of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name of the process, equal to the VM's name in the platform's list.
    pub name: Arc<str>,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the key-value service.
    pub key_value: Arc<str>,
    /// URL of the list of VMs.
    pub vm_list: Arc<str>,
}

/// Secret keys shared by berylhook's processes, by which they authenticate each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    /// Key for connections that this process opens.
    pub key: Arc<str>,
    /// Second key that is also accepted, for key rotation.
    pub previous_key: Option<Arc<str>>,
}

/// Settings of the log output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logs {
    /// Minimum log level, such as `info`.
    pub level: Arc<str>,
    /// Whether to write one JSON object per line instead of text.
    pub json: bool,
}

/// Settings of the metrics output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Metrics {
    /// Address to send statsd datagrams to; none are sent if unset.
    pub statsd: Option<SocketAddr>,
}

const ADDRESS_REMEDY: &str = "write an IP address and port, such as 127.0.0.1:8080";
const MS_REMEDY: &str = "write a whole number of milliseconds";
const DEFAULT_DRAIN_DELAY_MS: u64 = 5_000;
/// Entry VMs are small; more threads mostly spend their time waking each other.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
const DEFAULT_LEASE_TTL_S: u32 = 10;
const MIN_LEASE_TTL_S: u32 = 2;

impl EntrySettings {
    /// Parses and validates the settings file of an entry process.
    ///
    /// # Errors
    ///
    /// On the first invalid line; the error names the line and how to correct it.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(text)?;
        file.reject_unknown_sections(&["entry", "limits", "platform", "trust", "logs", "metrics"])?;
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
            traffic_threads: parse_thread_count(section)?,
            limits: ProcessLimits::parse(&file)?,
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
    /// Parses and validates the settings file of an agent.
    ///
    /// # Errors
    ///
    /// On the first invalid line; the error names the line and how to correct it.
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
            lease_ttl_s: parse_lease_ttl(section)?,
            drain_bound_ms: section.parse_or("drain_bound_ms", 0, MS_REMEDY)?,
        })
    }
}

fn parse_thread_count(section: &Section) -> Result<usize, IniError> {
    let remedy = "write a whole number of threads, from 1 to 64";
    let threads = section.parse_or("traffic_threads", DEFAULT_TRAFFIC_THREADS, remedy)?;
    match section.get("traffic_threads") {
        Some(setting) if !(1..=64).contains(&threads) => {
            Err(section.invalid_value(setting, remedy))
        }
        _ => Ok(threads),
    }
}

fn parse_lease_ttl(section: &Section) -> Result<u32, IniError> {
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
    // The value is a secret, so it must not appear in the error.
    let redacted = crate::ini_file::Setting {
        value: "...".into(),
        ..setting.clone()
    };
    Err(section.invalid_value(&redacted, "write 32 random bytes as 64 hex digits"))
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
