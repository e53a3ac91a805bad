//! The settings of an entry in their checked form.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use berylhook_operator::{IniError, IniFile, Section};

const ADDRESS_REMEDY: &str = "write an IP number and port, such as 10.0.0.1:8080";
const PORT_REMEDY: &str = "write a port, a number from 1 to 65535";
const SHARE_REMEDY: &str = "write a part of one processor, such as 0.25";
const SECONDS_REMEDY: &str = "write a number of seconds, such as 8";

/// Port of the agents where the settings name none.
const DEFAULT_AGENT_PORT: u16 = 7_340;

/// Time from the request to stop until the platform kills the process, where
/// the settings name none.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Part of a processor that the process may use, where the settings name none.
const DEFAULT_PROCESSOR_SHARE: f64 = 1.0;

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The process's name.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Part of a processor that the process may use. Leading a large group
    /// takes more than the smallest VMs have.
    pub processor_share: f64,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether new connections are welcome.
    pub readiness_address: SocketAddr,
    /// Where other entries ask for what this one knows.
    pub peer_address: SocketAddr,
    /// Where metrics are read, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Other entries to begin with; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Port of the agents beside the model engines.
    pub agent_port: u16,
    /// Time from the request to stop until the process is killed.
    pub grace_ms: u64,
    /// Level of the logs, such as `info`.
    pub log_level: Arc<str>,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// If it cannot be read or is not valid; the error names the remedy.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).with_context(|| {
            format!("{shown} cannot be read; check the path and its permissions")
        })?;
        Self::parse(&text).with_context(|| shown.to_string())
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the line, the setting and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(text)?;
        file.only_sections(&["node", "listen", "peers", "store", "agents", "stop", "logs"])?;
        let node = required(&file, "node")?;
        node.only(&["name", "data_centre", "processor_share"])?;
        let listen = required(&file, "listen")?;
        listen.only(&["callers", "ready", "peers", "metrics"])?;
        let store = required(&file, "store")?;
        store.only(&["address"])?;
        Ok(Self {
            name: Arc::clone(&node.required("name")?.value),
            data_centre: Arc::clone(&node.required("data_centre")?.value),
            processor_share: processor_share(node)?,
            caller_address: listen.parse("callers", ADDRESS_REMEDY)?,
            readiness_address: listen.parse("ready", ADDRESS_REMEDY)?,
            peer_address: listen.parse("peers", ADDRESS_REMEDY)?,
            metrics_address: match listen.get("metrics") {
                Some(_) => Some(listen.parse("metrics", ADDRESS_REMEDY)?),
                None => None,
            },
            seeds: seeds(&file)?,
            store_address: store.parse("address", ADDRESS_REMEDY)?,
            agent_port: agent_port(&file)?,
            grace_ms: grace_ms(&file)?,
            log_level: log_level(&file)?,
        })
    }
}

fn processor_share(node: &Section) -> Result<f64, IniError> {
    let Some(setting) = node.get("processor_share") else {
        return Ok(DEFAULT_PROCESSOR_SHARE);
    };
    let share: f64 = node.parse("processor_share", SHARE_REMEDY)?;
    if share.is_finite() && share > 0.0 {
        Ok(share)
    } else {
        Err(node.bad_value(setting, SHARE_REMEDY))
    }
}

fn required<'a>(file: &'a IniFile, title: &str) -> Result<&'a Section, IniError> {
    file.section(title).ok_or_else(|| IniError::Missing {
        line: 1,
        section: title.to_owned(),
        setting: "...".to_owned(),
    })
}

/// A comma-separated list; an empty one is allowed.
fn seeds(file: &IniFile) -> Result<Vec<SocketAddr>, IniError> {
    let Some(section) = file.section("peers") else {
        return Ok(Vec::new());
    };
    section.only(&["seeds"])?;
    let Some(setting) = section.get("seeds") else {
        return Ok(Vec::new());
    };
    let words = setting.value.split(',').map(str::trim);
    words
        .filter(|word| !word.is_empty())
        .map(|word| {
            word.parse()
                .map_err(|_| section.bad_value(setting, ADDRESS_REMEDY))
        })
        .collect()
}

fn agent_port(file: &IniFile) -> Result<u16, IniError> {
    match file.section("agents") {
        Some(section) => {
            section.only(&["port"])?;
            section.parse("port", PORT_REMEDY)
        }
        None => Ok(DEFAULT_AGENT_PORT),
    }
}

fn grace_ms(file: &IniFile) -> Result<u64, IniError> {
    let grace_s = match file.section("stop") {
        Some(section) => {
            section.only(&["grace_s"])?;
            section.parse_or("grace_s", DEFAULT_GRACE_S, SECONDS_REMEDY)?
        }
        None => DEFAULT_GRACE_S,
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
    let grace_ms = (grace_s.clamp(0.0, 3_600.0) * 1_000.0) as u64;
    Ok(grace_ms)
}

fn log_level(file: &IniFile) -> Result<Arc<str>, IniError> {
    match file.section("logs") {
        Some(section) => {
            section.only(&["level"])?;
            Ok(Arc::clone(&section.required("level")?.value))
        }
        None => Ok("info".into()),
    }
}
