//! The validated settings of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use anyhow::Context;
use berylhook_operator::{IniError, IniFile, ProcessLimits, Section};
use berylhook_traffic::cold::ColdBounds;
use berylhook_traffic::regions::RegionMap;
use berylhook_traffic::retry_budget::RetryBounds;

const ADDRESS_REMEDY: &str = "write an IP address and port, such as 10.0.0.1:8080";
const PORT_REMEDY: &str = "write a port, a number from 1 to 65535";
const PROCESSOR_SHARE_REMEDY: &str = "write a fraction of one processor, such as 0.25";
const OVERSHOOT_REMEDY: &str = "write a factor, such as 1.5";
const SLACK_REMEDY: &str = "write a number of requests, such as 5";
const RATIO_REMEDY: &str = "write retries per request, such as 0.2";
const RETRY_SLACK_REMEDY: &str = "write a number of retries, such as 100";
const WINDOW_REMEDY: &str = "write a number of seconds from 0.1 to 3600, such as 10";
const SECONDS_REMEDY: &str = "write a number of seconds, such as 8";
const MILLISECONDS_REMEDY: &str =
    "write a number of milliseconds, such as 5000, or nothing if the deployment has no evacuation";

const ZONES_REMEDY: &str =
    "write data centres with their regions, separated by commas, such as a:north,b:south";
const REGION_COUNT_REMEDY: &str = "name at most 64 regions";

/// Default port of the agents.
const DEFAULT_AGENT_PORT: u16 = 7_340;

/// Default time from SIGTERM until the platform kills the process.
const DEFAULT_GRACE_S: f64 = 8.0;

/// Default fraction of a processor that the process may use.
const DEFAULT_PROCESSOR_SHARE: f64 = 1.0;

/// Lengths of the window in which retries are counted, in seconds.
const RETRY_WINDOW_RANGE_S: std::ops::RangeInclusive<f64> = 0.1..=3_600.0;

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// The process's name.
    pub name: Arc<str>,
    /// The data centre of the process.
    pub data_centre: Arc<str>,
    /// Fraction of a processor that the process may use. Leading a large group takes more than
    /// the smallest VMs have.
    pub processor_share: f64,
    /// What the VM allows the process.
    pub limits: ProcessLimits,
    /// Address for callers' connections.
    pub caller_address: SocketAddr,
    /// Address at which the platform probes whether the entry takes new connections.
    pub readiness_address: SocketAddr,
    /// Address at which other entries query this one.
    pub peer_address: SocketAddr,
    /// Address of the metrics endpoint, if there is one.
    pub metrics_address: Option<SocketAddr>,
    /// Addresses of other entries for the start of discovery; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Port of the agents beside the model engines.
    pub agent_port: u16,
    /// Time from SIGTERM until the platform kills the process.
    pub grace_ms: u64,
    /// Longest time from the evacuation of a data centre until its targets get no more requests;
    /// `None` if the deployment has no evacuation. A change takes effect at the next start.
    pub evacuate_ms: Option<u64>,
    /// Bounds for the requests at cold targets; `None` if the deployment has none.
    pub cold_bounds: Option<ColdBounds>,
    /// The bound for the retries at a service over all entries.
    pub retry_bounds: RetryBounds,
    /// The regions of the data centres, for requests that may run only in some regions. A change
    /// takes effect at the next start.
    pub regions: RegionMap,
    /// Level of the logs, such as `info`.
    pub log_level: Arc<str>,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is not valid; the error names the remedy.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let display_path = path.display();
        let text = std::fs::read_to_string(path).with_context(|| {
            format!("{display_path} cannot be read; check the path and its permissions")
        })?;
        Self::parse(&text).with_context(|| display_path.to_string())
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// The error names the line, the setting and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(text)?;
        file.reject_unknown_sections(&[
            "node",
            "listen",
            "peers",
            "store",
            "evacuation",
            "regions",
            "agents",
            "stop",
            "logs",
            "cold_targets",
            "retries",
            "limits",
        ])?;
        let node = required(&file, "node")?;
        node.reject_unknown_settings(&["name", "data_centre", "processor_share"])?;
        let listen = required(&file, "listen")?;
        listen.reject_unknown_settings(&["callers", "ready", "peers", "metrics"])?;
        let store = required(&file, "store")?;
        store.reject_unknown_settings(&["address"])?;
        Ok(Self {
            name: Arc::clone(&node.required("name")?.value),
            data_centre: Arc::clone(&node.required("data_centre")?.value),
            processor_share: processor_share(node)?,
            limits: ProcessLimits::parse(&file)?,
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
            evacuate_ms: evacuate_ms(&file)?,
            cold_bounds: cold_bounds(&file)?,
            retry_bounds: retry_bounds(&file)?,
            regions: regions(&file, &node.required("data_centre")?.value)?,
            log_level: log_level(&file)?,
        })
    }
}

fn processor_share(node: &Section) -> Result<f64, IniError> {
    let Some(setting) = node.get("processor_share") else {
        return Ok(DEFAULT_PROCESSOR_SHARE);
    };
    let share: f64 = node.parse("processor_share", PROCESSOR_SHARE_REMEDY)?;
    if share.is_finite() && share > 0.0 {
        Ok(share)
    } else {
        Err(node.invalid_value(setting, PROCESSOR_SHARE_REMEDY))
    }
}

fn required<'a>(file: &'a IniFile, title: &str) -> Result<&'a Section, IniError> {
    file.section(title).ok_or_else(|| IniError::Missing {
        line: 1,
        section: title.to_owned(),
        setting: "...".to_owned(),
    })
}

/// Parses a comma-separated list of addresses, which may be empty.
fn seeds(file: &IniFile) -> Result<Vec<SocketAddr>, IniError> {
    let Some(section) = file.section("peers") else {
        return Ok(Vec::new());
    };
    section.reject_unknown_settings(&["seeds"])?;
    let Some(setting) = section.get("seeds") else {
        return Ok(Vec::new());
    };
    let addresses = setting.value.split(',').map(str::trim);
    addresses
        .filter(|address| !address.is_empty())
        .map(|address| {
            address
                .parse()
                .map_err(|_| section.invalid_value(setting, ADDRESS_REMEDY))
        })
        .collect()
}

fn agent_port(file: &IniFile) -> Result<u16, IniError> {
    match file.section("agents") {
        Some(section) => {
            section.reject_unknown_settings(&["port"])?;
            section.parse("port", PORT_REMEDY)
        }
        None => Ok(DEFAULT_AGENT_PORT),
    }
}

fn grace_ms(file: &IniFile) -> Result<u64, IniError> {
    let grace_s = match file.section("stop") {
        Some(section) => {
            section.reject_unknown_settings(&["grace_s"])?;
            section.parse_or("grace_s", DEFAULT_GRACE_S, SECONDS_REMEDY)?
        }
        None => DEFAULT_GRACE_S,
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
    let grace_ms = (grace_s.clamp(0.0, 3_600.0) * 1_000.0) as u64;
    Ok(grace_ms)
}

/// An empty value stands for a deployment without evacuation.
fn evacuate_ms(file: &IniFile) -> Result<Option<u64>, IniError> {
    let Some(section) = file.section("evacuation") else {
        return Ok(None);
    };
    section.reject_unknown_settings(&["evacuate_ms"])?;
    match section.get("evacuate_ms") {
        Some(setting) if !setting.value.is_empty() => {
            let evacuate_ms: f64 = section.parse("evacuate_ms", MILLISECONDS_REMEDY)?;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
            Ok(Some(evacuate_ms.clamp(0.0, 3_600_000.0) as u64))
        }
        _ => Ok(None),
    }
}

/// Parses the bounds for cold targets. The platform leaves a value empty that the deployment does
/// not have; without an overshoot, there are no bounds.
fn cold_bounds(file: &IniFile) -> Result<Option<ColdBounds>, IniError> {
    let Some(section) = file.section("cold_targets") else {
        return Ok(None);
    };
    section.reject_unknown_settings(&["overshoot", "slack"])?;
    let overshoot = bound(section, "overshoot", OVERSHOOT_REMEDY)?;
    let slack = bound(section, "slack", SLACK_REMEDY)?;
    Ok(overshoot.map(|overshoot| ColdBounds {
        overshoot,
        slack: slack.unwrap_or(0.0),
    }))
}

/// Missing or empty values stand for the defaults.
fn retry_bounds(file: &IniFile) -> Result<RetryBounds, IniError> {
    let defaults = RetryBounds::default();
    let Some(section) = file.section("retries") else {
        return Ok(defaults);
    };
    section.reject_unknown_settings(&["ratio", "window_s", "slack"])?;
    Ok(RetryBounds {
        ratio: bound(section, "ratio", RATIO_REMEDY)?.unwrap_or(defaults.ratio),
        window_ms: retry_window_ms(section)?.unwrap_or(defaults.window_ms),
        slack: bound(section, "slack", RETRY_SLACK_REMEDY)?.unwrap_or(defaults.slack),
    })
}

fn retry_window_ms(section: &Section) -> Result<Option<u64>, IniError> {
    let Some(setting) = section.get("window_s").filter(|it| !it.value.is_empty()) else {
        return Ok(None);
    };
    let window_s: f64 = section.parse("window_s", WINDOW_REMEDY)?;
    if !RETRY_WINDOW_RANGE_S.contains(&window_s) {
        return Err(section.invalid_value(setting, WINDOW_REMEDY));
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // checked above
    Ok(Some((window_s * 1_000.0) as u64))
}

/// Parses a number that may be missing or empty.
fn bound(section: &Section, name: &str, remedy: &str) -> Result<Option<f64>, IniError> {
    let Some(setting) = section.get(name).filter(|it| !it.value.is_empty()) else {
        return Ok(None);
    };
    let value: f64 = section.parse(name, remedy)?;
    if value.is_finite() && value >= 0.0 {
        Ok(Some(value))
    } else {
        Err(section.invalid_value(setting, remedy))
    }
}

/// The own data centre is in the own region, unless the list says otherwise. Empty values stand for
/// a deployment without regions.
fn regions(file: &IniFile, own_data_centre: &Arc<str>) -> Result<RegionMap, IniError> {
    let Some(section) = file.section("regions") else {
        return Ok(RegionMap::default());
    };
    section.reject_unknown_settings(&["own", "zones"])?;
    let mut pairs = Vec::new();
    if let Some(own) = section.get("own").filter(|own| !own.value.is_empty()) {
        pairs.push((Arc::clone(own_data_centre), Arc::clone(&own.value)));
    }
    if let Some(setting) = section.get("zones") {
        let items = setting.value.split(',').map(str::trim);
        for item in items.filter(|item| !item.is_empty()) {
            let (zone, region) = item
                .split_once(':')
                .filter(|(zone, region)| !zone.is_empty() && !region.is_empty())
                .ok_or_else(|| section.invalid_value(setting, ZONES_REMEDY))?;
            pairs.push((zone.into(), region.into()));
        }
    }
    match (RegionMap::new(pairs), section.get("zones")) {
        (None, Some(setting)) => Err(section.invalid_value(setting, REGION_COUNT_REMEDY)),
        (map, _) => Ok(map.unwrap_or_default()),
    }
}

fn log_level(file: &IniFile) -> Result<Arc<str>, IniError> {
    match file.section("logs") {
        Some(section) => {
            section.reject_unknown_settings(&["level"])?;
            Ok(Arc::clone(&section.required("level")?.value))
        }
        None => Ok("info".into()),
    }
}
