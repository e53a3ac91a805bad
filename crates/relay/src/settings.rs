//! The settings of the agent beside a model engine in their checked form.

use std::net::SocketAddr;
use std::sync::Arc;

use berylhook_operator::{IniError, IniFile, Section};

const ADDRESS_REMEDY: &str = "write an IP number and port, such as 10.0.0.1:8080";

/// Settings of one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Where controllers ask.
    pub listen_address: SocketAddr,
    /// The engine beside the agent.
    pub engine_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The service that the engine belongs to.
    pub service: Arc<str>,
    /// Level of the logs, such as `info`.
    pub log_level: Arc<str>,
}

impl RelaySettings {
    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the line, the setting and the remedy.
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
