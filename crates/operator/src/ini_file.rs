//! INI with line numbers and errors that name the remedy.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use ini::Ini;
use thiserror::Error;

/// How alike two names must be for one to be suggested for the other.
const SUGGEST_FROM: f64 = 0.7;

/// What is wrong with an INI file.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum IniError {
    /// The text is no INI.
    #[error("line {line}: {message}; write `[section]` lines and `setting = value` lines")]
    Syntax {
        /// Line, from 1.
        line: usize,
        /// What the parser said.
        message: String,
    },
    /// A section that is not known here.
    #[error("line {line}: unknown section [{section}]{hint}")]
    UnknownSection {
        /// Line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The remedy.
        hint: String,
    },
    /// A setting that is not known in its section.
    #[error("line {line}: unknown setting `{setting}` in [{section}]{hint}")]
    UnknownSetting {
        /// Line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The setting.
        setting: String,
        /// The remedy.
        hint: String,
    },
    /// The same section or setting twice.
    #[error("line {line}: {item} is given twice; keep one of the two")]
    Duplicate {
        /// Line, from 1.
        line: usize,
        /// Section or setting.
        item: String,
    },
    /// A setting that must be there.
    #[error("line {line}: [{section}] lacks `{setting}`; add a line `{setting} = ...`")]
    Missing {
        /// Line of the section, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The setting.
        setting: String,
    },
    /// A value that is not allowed.
    #[error("line {line}: `{setting} = {value}` in [{section}]: {remedy}")]
    InvalidValue {
        /// Line, from 1.
        line: usize,
        /// The section.
        section: String,
        /// The setting.
        setting: String,
        /// The value.
        value: String,
        /// What to write instead.
        remedy: String,
    },
}

impl IniError {
    /// The line the error is on, from 1.
    #[must_use]
    pub fn line(&self) -> usize {
        match self {
            Self::Syntax { line, .. }
            | Self::UnknownSection { line, .. }
            | Self::UnknownSetting { line, .. }
            | Self::Duplicate { line, .. }
            | Self::Missing { line, .. }
            | Self::InvalidValue { line, .. } => *line,
        }
    }
}

/// A parsed file: its sections in order.
#[derive(Debug, Default)]
pub struct IniFile {
    /// The sections.
    pub sections: Vec<Section>,
}

/// One section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// The text between the brackets.
    pub title: Arc<str>,
    /// Line of the title, from 1.
    pub line: usize,
    /// The settings in order.
    pub settings: Vec<Setting>,
}

/// One `setting = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// The name.
    pub name: Arc<str>,
    /// The value.
    pub value: Arc<str>,
    /// Its line, from 1.
    pub line: usize,
}

impl IniFile {
    /// Parses `text`.
    ///
    /// # Errors
    ///
    /// If the text is no INI, or a section or setting stands twice.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let ini = Ini::load_from_str(text).map_err(|error| IniError::Syntax {
            line: error.line,
            message: error.msg.to_string(),
        })?;
        let lines = LineIndex::new(text);
        let mut file = Self::default();
        for (title, properties) in &ini {
            let title = title.unwrap_or_default();
            if title.is_empty() && properties.is_empty() {
                continue;
            }
            let mut settings = Vec::new();
            for (name, value) in properties {
                settings.push(Setting {
                    name: name.into(),
                    value: value.into(),
                    line: lines.setting(title, name),
                });
            }
            file.sections.push(Section {
                title: title.into(),
                line: lines.section(title),
                settings,
            });
        }
        lines.reject_twice()?;
        Ok(file)
    }

    /// The section of that title.
    #[must_use]
    pub fn section(&self, title: &str) -> Option<&Section> {
        self.sections
            .iter()
            .find(|section| &*section.title == title)
    }

    /// Fails on any section whose title `known` does not hold.
    ///
    /// # Errors
    ///
    /// Names the first unknown section and the nearest known one.
    pub fn reject_unknown_sections(&self, known: &[&str]) -> Result<(), IniError> {
        for section in &self.sections {
            if !known.contains(&&*section.title) {
                return Err(IniError::UnknownSection {
                    line: section.line,
                    section: section.title.to_string(),
                    hint: hint(&section.title, known),
                });
            }
        }
        Ok(())
    }
}

impl Section {
    /// Fails on any setting whose name `known` does not hold.
    ///
    /// # Errors
    ///
    /// Names the first unknown setting and the nearest known one.
    pub fn reject_unknown_settings(&self, known: &[&str]) -> Result<(), IniError> {
        for setting in &self.settings {
            if !known.contains(&&*setting.name) {
                return Err(IniError::UnknownSetting {
                    line: setting.line,
                    section: self.title.to_string(),
                    setting: setting.name.to_string(),
                    hint: hint(&setting.name, known),
                });
            }
        }
        Ok(())
    }

    /// The value of a setting, if it is there.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Setting> {
        self.settings.iter().find(|setting| &*setting.name == name)
    }

    /// The value of a setting that must be there.
    ///
    /// # Errors
    ///
    /// If it is not there.
    pub fn required(&self, name: &str) -> Result<&Setting, IniError> {
        self.get(name).ok_or_else(|| IniError::Missing {
            line: self.line,
            section: self.title.to_string(),
            setting: name.to_owned(),
        })
    }

    /// A value read by its type's own parser, or `default`.
    ///
    /// # Errors
    ///
    /// If it is there and cannot be read; `remedy` says what to write.
    pub fn parse_or<T: FromStr>(
        &self,
        name: &str,
        default: T,
        remedy: &str,
    ) -> Result<T, IniError> {
        match self.get(name) {
            Some(setting) => self.parse_value(setting, remedy),
            None => Ok(default),
        }
    }

    /// A required value read by its type's own parser.
    ///
    /// # Errors
    ///
    /// If it is missing or cannot be read; `remedy` says what to write.
    pub fn parse<T: FromStr>(&self, name: &str, remedy: &str) -> Result<T, IniError> {
        self.parse_value(self.required(name)?, remedy)
    }

    fn parse_value<T: FromStr>(&self, setting: &Setting, remedy: &str) -> Result<T, IniError> {
        setting
            .value
            .parse()
            .map_err(|_| self.invalid_value(setting, remedy))
    }

    /// The error for a value that is not allowed.
    #[must_use]
    pub fn invalid_value(&self, setting: &Setting, remedy: impl Display) -> IniError {
        IniError::InvalidValue {
            line: setting.line,
            section: self.title.to_string(),
            setting: setting.name.to_string(),
            value: setting.value.to_string(),
            remedy: remedy.to_string(),
        }
    }
}

fn hint(name: &str, known: &[&str]) -> String {
    let nearest = known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((alike, candidate)) if alike >= SUGGEST_FROM => {
            format!("; did you mean `{candidate}`?")
        }
        _ => format!("; known are {}", known.join(", ")),
    }
}

/// Where each section and setting stands. The INI library gives no lines for
/// what it has parsed.
struct LineIndex {
    entries: Vec<Place>,
}

struct Place {
    section: String,
    setting: Option<String>,
    line: usize,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let mut entries = Vec::new();
        let mut current = String::new();
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let line = line.trim();
            if line.starts_with('#') || line.starts_with(';') {
                continue;
            }
            if let Some(title) = line.strip_prefix('[') {
                title.trim_end_matches(']').trim().clone_into(&mut current);
                entries.push(Place {
                    section: current.clone(),
                    setting: None,
                    line: line_number,
                });
            } else if let Some((name, _)) = line.split_once(['=', ':']) {
                entries.push(Place {
                    section: current.clone(),
                    setting: Some(name.trim().to_owned()),
                    line: line_number,
                });
            }
        }
        Self { entries }
    }

    fn section(&self, title: &str) -> usize {
        self.find(title, None)
    }

    fn setting(&self, title: &str, name: &str) -> usize {
        self.find(title, Some(name))
    }

    fn find(&self, title: &str, name: Option<&str>) -> usize {
        self.entries
            .iter()
            .find(|place| place.section == title && place.setting.as_deref() == name)
            .map_or(1, |place| place.line)
    }

    fn reject_twice(&self) -> Result<(), IniError> {
        let mut seen = BTreeSet::new();
        for place in &self.entries {
            if !seen.insert((&place.section, &place.setting)) {
                let item = match &place.setting {
                    Some(setting) => format!("`{setting}` in [{}]", place.section),
                    None => format!("[{}]", place.section),
                };
                return Err(IniError::Duplicate {
                    line: place.line,
                    item,
                });
            }
        }
        Ok(())
    }
}
