//! INI parsing with line numbers, and errors that say how to correct the file.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use ini::Ini;
use thiserror::Error;

/// Minimum Jaro-Winkler similarity at which a known name is suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// Error in an INI file.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum IniError {
    /// The text is not valid INI.
    #[error("line {line}: {message}; write `[section]` lines and `setting = value` lines")]
    Syntax {
        /// Line number, from 1.
        line: usize,
        /// Message of the INI parser.
        message: String,
    },
    /// The section is not known in this kind of file.
    #[error("line {line}: unknown section [{section}]{hint}")]
    UnknownSection {
        /// Line number, from 1.
        line: usize,
        /// Title of the section.
        section: String,
        /// Suggestion, appended to the message.
        hint: String,
    },
    /// The setting is not known in its section.
    #[error("line {line}: unknown setting `{setting}` in [{section}]{hint}")]
    UnknownSetting {
        /// Line number, from 1.
        line: usize,
        /// Title of the section.
        section: String,
        /// Name of the setting.
        setting: String,
        /// Suggestion, appended to the message.
        hint: String,
    },
    /// A section, or a setting of a section, occurs twice.
    #[error("line {line}: {item} is given twice; keep one of the two")]
    Duplicate {
        /// Line number, from 1.
        line: usize,
        /// Description of the repeated section or setting.
        item: String,
    },
    /// A required setting is missing.
    #[error("line {line}: [{section}] lacks `{setting}`; add a line `{setting} = ...`")]
    Missing {
        /// Line number of the section, from 1.
        line: usize,
        /// Title of the section.
        section: String,
        /// Name of the setting.
        setting: String,
    },
    /// The value of a setting is not allowed.
    #[error("line {line}: `{setting} = {value}` in [{section}]: {remedy}")]
    InvalidValue {
        /// Line number, from 1.
        line: usize,
        /// Title of the section.
        section: String,
        /// Name of the setting.
        setting: String,
        /// The rejected value.
        value: String,
        /// What to write instead.
        remedy: String,
    },
}

impl IniError {
    /// Returns the line of the error, counted from 1.
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

/// A parsed INI file.
#[derive(Debug, Default)]
pub struct IniFile {
    /// Sections in the order of the file.
    pub sections: Vec<Section>,
}

/// A section of an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// Text between the brackets.
    pub title: Arc<str>,
    /// Line of the title, from 1.
    pub line: usize,
    /// Settings in the order of the file.
    pub settings: Vec<Setting>,
}

/// One `setting = value` line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Text before the `=`.
    pub name: Arc<str>,
    /// Text after the `=`.
    pub value: Arc<str>,
    /// Line of the setting, from 1.
    pub line: usize,
}

impl IniFile {
    /// Parses `text` and records the line of each section and setting.
    ///
    /// # Errors
    ///
    /// If the text is not valid INI, or a section or setting occurs twice.
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
                    line: lines.setting_line(title, name),
                });
            }
            file.sections.push(Section {
                title: title.into(),
                line: lines.section_line(title),
                settings,
            });
        }
        lines.reject_duplicates()?;
        Ok(file)
    }

    /// Returns the section with this title.
    #[must_use]
    pub fn section(&self, title: &str) -> Option<&Section> {
        self.sections
            .iter()
            .find(|section| &*section.title == title)
    }

    /// Fails if the title of any section is not in `known`.
    ///
    /// # Errors
    ///
    /// Names the first unknown section and the most similar known title.
    pub fn reject_unknown_sections(&self, known: &[&str]) -> Result<(), IniError> {
        for section in &self.sections {
            if !known.contains(&&*section.title) {
                return Err(IniError::UnknownSection {
                    line: section.line,
                    section: section.title.to_string(),
                    hint: suggestion(&section.title, known),
                });
            }
        }
        Ok(())
    }
}

impl Section {
    /// Fails if the name of any setting is not in `known`.
    ///
    /// # Errors
    ///
    /// Names the first unknown setting and the most similar known name.
    pub fn reject_unknown_settings(&self, known: &[&str]) -> Result<(), IniError> {
        for setting in &self.settings {
            if !known.contains(&&*setting.name) {
                return Err(IniError::UnknownSetting {
                    line: setting.line,
                    section: self.title.to_string(),
                    setting: setting.name.to_string(),
                    hint: suggestion(&setting.name, known),
                });
            }
        }
        Ok(())
    }

    /// Returns a setting by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Setting> {
        self.settings.iter().find(|setting| &*setting.name == name)
    }

    /// Returns a required setting by name.
    ///
    /// # Errors
    ///
    /// If the section lacks the setting.
    pub fn required(&self, name: &str) -> Result<&Setting, IniError> {
        self.get(name).ok_or_else(|| IniError::Missing {
            line: self.line,
            section: self.title.to_string(),
            setting: name.to_owned(),
        })
    }

    /// Parses an optional setting with [`FromStr`]; returns `default` if it is missing.
    ///
    /// # Errors
    ///
    /// If the value cannot be parsed; `remedy` tells the operator what to write.
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

    /// Parses a required setting with [`FromStr`].
    ///
    /// # Errors
    ///
    /// If the setting is missing or its value cannot be parsed; `remedy` tells the operator what to
    /// write.
    pub fn parse<T: FromStr>(&self, name: &str, remedy: &str) -> Result<T, IniError> {
        self.parse_value(self.required(name)?, remedy)
    }

    fn parse_value<T: FromStr>(&self, setting: &Setting, remedy: &str) -> Result<T, IniError> {
        setting
            .value
            .parse()
            .map_err(|_| self.invalid_value(setting, remedy))
    }

    /// Builds the error for a value that is not allowed.
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

fn suggestion(name: &str, known: &[&str]) -> String {
    let nearest = known
        .iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((similarity, candidate)) if similarity >= MIN_SUGGESTION_SIMILARITY => {
            format!("; did you mean `{candidate}`?")
        }
        _ => format!("; known names are {}", known.join(", ")),
    }
}

/// Line numbers of all sections and settings. The INI library does not report them.
struct LineIndex {
    entries: Vec<LineEntry>,
}

struct LineEntry {
    section: String,
    setting: Option<String>,
    line: usize,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let mut entries = Vec::new();
        let mut current_section = String::new();
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let line = line.trim();
            if line.starts_with('#') || line.starts_with(';') {
                continue;
            }
            if let Some(title) = line.strip_prefix('[') {
                title
                    .trim_end_matches(']')
                    .trim()
                    .clone_into(&mut current_section);
                entries.push(LineEntry {
                    section: current_section.clone(),
                    setting: None,
                    line: line_number,
                });
            } else if let Some((name, _)) = line.split_once(['=', ':']) {
                entries.push(LineEntry {
                    section: current_section.clone(),
                    setting: Some(name.trim().to_owned()),
                    line: line_number,
                });
            }
        }
        Self { entries }
    }

    fn section_line(&self, title: &str) -> usize {
        self.line_of(title, None)
    }

    fn setting_line(&self, title: &str, name: &str) -> usize {
        self.line_of(title, Some(name))
    }

    fn line_of(&self, title: &str, name: Option<&str>) -> usize {
        self.entries
            .iter()
            .find(|entry| entry.section == title && entry.setting.as_deref() == name)
            .map_or(1, |entry| entry.line)
    }

    fn reject_duplicates(&self) -> Result<(), IniError> {
        let mut seen = BTreeSet::new();
        for entry in &self.entries {
            if !seen.insert((&entry.section, &entry.setting)) {
                let item = match &entry.setting {
                    Some(setting) => format!("`{setting}` in [{}]", entry.section),
                    None => format!("[{}]", entry.section),
                };
                return Err(IniError::Duplicate {
                    line: entry.line,
                    item,
                });
            }
        }
        Ok(())
    }
}
