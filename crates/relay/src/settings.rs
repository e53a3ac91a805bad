//! Validated settings of the relay agent.

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_operator::{IniError, IniFile, Section};

const ADDRESS_REMEDY: &str = "write an IP address and port, such as 10.0.0.1:8080";

/// Settings of one relay agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Address at which the agent listens for leaders' requests.
    pub listen_address: SocketAddr,
    /// Address of the engine on the agent's VM.
    pub engine_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Name of the service that the engine belongs to.
    pub service: Arc<str>,
    /// Log level, such as `info`.
    pub log_level: Arc<str>,
}

impl RelaySettings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// If a setting is missing or invalid. The error names the line, the setting and the remedy.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(text)?;
        file.reject_unknown_sections(&["listen", "engine", "store", "logs"])?;
        let log_level = match file.section("logs") {
            Some(section) => {
                section.reject_unknown_settings(&["level"])?;
                Arc::clone(&section.required("level")?.value)
            }
            None => "info".into(),
        };
        let engine = section(&file, "engine", &["address", "service"])?;
        Ok(Self {
            listen_address: address(&file, "listen")?,
            engine_address: engine.parse("address", ADDRESS_REMEDY)?,
            store_address: address(&file, "store")?,
            service: Arc::clone(&engine.required("service")?.value),
            log_level,
        })
    }
}

fn address(file: &IniFile, title: &str) -> Result<SocketAddr, IniError> {
    section(file, title, &["address"])?.parse("address", ADDRESS_REMEDY)
}

fn section<'a>(file: &'a IniFile, title: &str, known: &[&str]) -> Result<&'a Section, IniError> {
    let missing = || IniError::Missing {
        line: 1,
        section: title.to_owned(),
        setting: "address".to_owned(),
    };
    let section = file.section(title).ok_or_else(missing)?;
    section.reject_unknown_settings(known)?;
    Ok(section)
}
