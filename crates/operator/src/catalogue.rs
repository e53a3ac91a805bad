//! The validated catalogue: entries, client accounts and expert-parallel groups.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::document::{ItemId, ItemKind};
use crate::ini_file::{IniError, IniFile, Section, Setting};

/// Priority of an entry's requests under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Lowest priority: uses only capacity that no other class needs.
    Batch,
    /// A person is waiting for the response.
    Interactive,
    /// Highest priority, such as safety recalls.
    Critical,
}

/// Protocol of the targets of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// A language model with the `OpenAI` paths.
    Model,
    /// Any HTTP service.
    Plain,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RetryPolicy {
    /// Requests are idempotent and may be retried.
    Safe,
    /// A request is executed at most once.
    Never,
}

/// Service-level objectives that an entry's owner promises its callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Objectives {
    /// Percentage of requests with a complete response.
    pub availability_percent: f64,
    /// Maximum time to the first token.
    pub first_token_ms: u64,
    /// Maximum time between two tokens.
    pub token_gap_ms: u64,
    /// Percentage of responses that meet both latency objectives.
    pub latency_percent: f64,
}

/// Limits on traffic. 0 means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Limits {
    /// Concurrent requests.
    pub concurrency: u32,
    /// Requests started per second.
    pub requests_per_second: u32,
    /// Tokens generated per second.
    pub tokens_per_second: u32,
}

/// A model or plain HTTP service that client accounts can call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Name of the entry; for a model also the value of `model` in requests.
    pub name: Arc<str>,
    /// Owner of the service, whom callers ask for access.
    pub owner: Arc<str>,
    /// Priority of its requests.
    pub class: PriorityClass,
    /// Protocol of its targets.
    pub kind: EntryKind,
    /// Path prefix of a plain service; `None` for a model.
    pub path: Option<Arc<str>>,
    /// Whether its requests may be executed more than once.
    pub repeat: RetryPolicy,
    /// Whether its targets can resume an interrupted stream.
    pub resume: bool,
    /// Traffic limits, summed over all entry VMs.
    pub limits: Limits,
    /// Maximum duration of a whole request. Callers may shorten it.
    pub deadline_ms: u64,
    /// Time within which the agent must start a dispatched request. A later start is refused.
    pub start_within_ms: u64,
    /// Maximum number of retries, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Service-level objectives.
    pub objectives: Objectives,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Account {
    /// Name of the account.
    pub name: Arc<str>,
    /// Owner of the relationship with the customer.
    pub owner: Arc<str>,
    /// SHA-256 of the account's bearer key. Not serialized.
    #[serde(skip)]
    pub key_sha256: [u8; 32],
    /// Names of the entries that the account may call.
    pub entries: Vec<Arc<str>>,
    /// Traffic limits, summed over all entry VMs.
    pub limits: Limits,
}

/// An expert-parallel group: ranks that run each forward pass in lock-step on one expert map.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Name of the entry that the group serves.
    pub entry: Arc<str>,
    /// Number of ranks.
    pub ranks: u32,
    /// Number of experts in each layer.
    pub experts: u32,
    /// Number of expert slots on each rank.
    pub slots_per_rank: u32,
    /// Cost to the owner of one percent of step-time skew.
    pub skew_weight: f64,
    /// Cost to the owner of one second of rebalancing.
    pub cost_weight: f64,
}

/// All valid catalogue items.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Catalogue {
    /// Entries by name.
    pub entries: IndexMap<Arc<str>, Entry>,
    /// Accounts by name.
    pub accounts: IndexMap<Arc<str>, Account>,
    /// Groups by name.
    pub groups: IndexMap<Arc<str>, Group>,
}

const LIMIT_SETTINGS: [&str; 3] = ["concurrency", "requests_per_second", "tokens_per_second"];

const ENTRY_SETTINGS: [&str; 16] = [
    "owner",
    "class",
    "kind",
    "path",
    "repeat",
    "resume",
    LIMIT_SETTINGS[0],
    LIMIT_SETTINGS[1],
    LIMIT_SETTINGS[2],
    "deadline_ms",
    "start_within_ms",
    "retry_percent",
    "objective_availability_percent",
    "objective_first_token_ms",
    "objective_token_gap_ms",
    "objective_latency_percent",
];

const ACCOUNT_SETTINGS: [&str; 6] = [
    "owner",
    "key_sha256",
    "entries",
    LIMIT_SETTINGS[0],
    LIMIT_SETTINGS[1],
    LIMIT_SETTINGS[2],
];

const GROUP_SETTINGS: [&str; 6] = [
    "entry",
    "ranks",
    "experts",
    "slots_per_rank",
    "skew_weight",
    "cost_weight",
];

const DEFAULT_DEADLINE_MS: u64 = 120_000;
const DEFAULT_START_WITHIN_MS: u64 = 5_000;
const DEFAULT_RETRY_PERCENT: u32 = 10;
const DEFAULT_OBJECTIVES: Objectives = Objectives {
    availability_percent: 99.9,
    first_token_ms: 910,
    token_gap_ms: 47,
    latency_percent: 95.0,
};

/// One validated catalogue item.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueItem {
    /// An entry.
    Entry(Entry),
    /// An account.
    Account(Account),
    /// A group.
    Group(Group),
}

impl Catalogue {
    /// Parses and validates a catalogue file.
    ///
    /// # Errors
    ///
    /// On the first invalid line; the error names the line and how to correct it.
    pub fn parse(text: &str) -> Result<Self, IniError> {
        let mut catalogue = Self::default();
        for section in &IniFile::parse(text)?.sections {
            catalogue.insert(CatalogueItem::parse(section)?);
        }
        Ok(catalogue)
    }

    /// Inserts an item. It replaces an item of the same kind and name.
    pub fn insert(&mut self, item: CatalogueItem) {
        match item {
            CatalogueItem::Entry(entry) => {
                self.entries.insert(Arc::clone(&entry.name), entry);
            }
            CatalogueItem::Account(account) => {
                self.accounts.insert(Arc::clone(&account.name), account);
            }
            CatalogueItem::Group(group) => {
                self.groups.insert(Arc::clone(&group.name), group);
            }
        }
    }

    /// Returns the plain service with the longest path prefix of `path`.
    #[must_use]
    pub fn entry_for_path(&self, path: &str) -> Option<&Entry> {
        self.entries
            .values()
            .filter(|entry| {
                entry
                    .path
                    .as_deref()
                    .is_some_and(|prefix| is_under(path, prefix))
            })
            .max_by_key(|entry| entry.path.as_ref().map_or(0, |prefix| prefix.len()))
    }

    /// Returns the account whose bearer key has this SHA-256 digest.
    #[must_use]
    pub fn account_by_key(&self, key_sha256: &[u8; 32]) -> Option<&Account> {
        // The comparison does not run in constant time, but it is of digests: a timing difference
        // may reveal the start of a digest, which does not help to find a key.
        self.accounts
            .values()
            .find(|account| &account.key_sha256 == key_sha256)
    }
}

/// Whether `path` equals `prefix` or is below it.
fn is_under(path: &str, prefix: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with(['/', '?']),
        None => false,
    }
}

impl CatalogueItem {
    /// Parses and validates one section of a catalogue file.
    ///
    /// # Errors
    ///
    /// On the first invalid line; the error names the line and how to correct it.
    pub fn parse(section: &Section) -> Result<Self, IniError> {
        let id: ItemId = section
            .title
            .parse()
            .map_err(|error| IniError::UnknownSection {
                line: section.line,
                section: section.title.to_string(),
                hint: format!("; {error}"),
            })?;
        match id.kind {
            ItemKind::Entry => parse_entry(id.name, section).map(Self::Entry),
            ItemKind::Account => parse_account(id.name, section).map(Self::Account),
            ItemKind::Group => parse_group(id.name, section).map(Self::Group),
        }
    }

    /// Parses and validates the stored settings of an item. Line numbers in errors count from the
    /// section title, as if the item were printed alone.
    ///
    /// # Errors
    ///
    /// If a setting is invalid; the error names the setting and how to correct it.
    pub fn from_settings(
        id: &ItemId,
        settings: &IndexMap<Arc<str>, Arc<str>>,
    ) -> Result<Self, IniError> {
        let settings = settings
            .iter()
            .enumerate()
            .map(|(index, (name, value))| Setting {
                name: Arc::clone(name),
                value: Arc::clone(value),
                line: index + 2,
            })
            .collect();
        Self::parse(&Section {
            title: id.to_string().into(),
            line: 1,
            settings,
        })
    }
}

fn parse_entry(name: Arc<str>, section: &Section) -> Result<Entry, IniError> {
    section.reject_unknown_settings(&ENTRY_SETTINGS)?;
    let kind = parse_choice(
        section,
        "kind",
        &[("model", EntryKind::Model), ("plain", EntryKind::Plain)],
    )?;
    let class = parse_choice(
        section,
        "class",
        &[
            ("interactive", PriorityClass::Interactive),
            ("batch", PriorityClass::Batch),
            ("critical", PriorityClass::Critical),
        ],
    )?;
    let repeat = parse_choice(
        section,
        "repeat",
        &[("safe", RetryPolicy::Safe), ("never", RetryPolicy::Never)],
    )?;
    let resume = parse_choice(section, "resume", &[("no", false), ("yes", true)])?;
    Ok(Entry {
        name,
        owner: Arc::clone(&section.required("owner")?.value),
        class,
        kind,
        path: parse_path(section, kind)?,
        repeat,
        resume,
        limits: parse_limits(section)?,
        deadline_ms: parse_positive_ms(section, "deadline_ms", DEFAULT_DEADLINE_MS)?,
        start_within_ms: parse_positive_ms(section, "start_within_ms", DEFAULT_START_WITHIN_MS)?,
        retry_percent: parse_count(section, "retry_percent", DEFAULT_RETRY_PERCENT)?,
        objectives: parse_objectives(section)?,
    })
}

fn parse_path(section: &Section, kind: EntryKind) -> Result<Option<Arc<str>>, IniError> {
    match (kind, section.get("path")) {
        (EntryKind::Model, None) => Ok(None),
        (EntryKind::Model, Some(setting)) => Err(section.invalid_value(
            setting,
            "models are served under /v1; remove the line or set `kind = plain`",
        )),
        (EntryKind::Plain, None) => section.required("path").map(|_| None),
        (EntryKind::Plain, Some(setting)) if is_plain_path(&setting.value) => {
            Ok(Some(Arc::clone(&setting.value)))
        }
        (EntryKind::Plain, Some(setting)) => Err(section.invalid_value(
            setting,
            "write a path such as /guide-push, not `/`, not below /v1, without a slash at its end",
        )),
    }
}

fn is_plain_path(path: &str) -> bool {
    let reserved = is_under(path, "/v1") || is_under(path, "/healthz") || is_under(path, "/readyz");
    path.len() > 1 && path.starts_with('/') && !path.ends_with('/') && !reserved
}

fn parse_objectives(section: &Section) -> Result<Objectives, IniError> {
    let defaults = DEFAULT_OBJECTIVES;
    Ok(Objectives {
        availability_percent: parse_percent(
            section,
            "objective_availability_percent",
            defaults.availability_percent,
        )?,
        first_token_ms: parse_positive_ms(
            section,
            "objective_first_token_ms",
            defaults.first_token_ms,
        )?,
        token_gap_ms: parse_positive_ms(section, "objective_token_gap_ms", defaults.token_gap_ms)?,
        latency_percent: parse_percent(
            section,
            "objective_latency_percent",
            defaults.latency_percent,
        )?,
    })
}

fn parse_account(name: Arc<str>, section: &Section) -> Result<Account, IniError> {
    section.reject_unknown_settings(&ACCOUNT_SETTINGS)?;
    let entries = section
        .required("entries")?
        .value
        .split(',')
        .map(str::trim)
        .filter(|entry| !entry.is_empty())
        .map(Arc::from)
        .collect();
    Ok(Account {
        name,
        owner: Arc::clone(&section.required("owner")?.value),
        key_sha256: parse_key_digest(section)?,
        entries,
        limits: parse_limits(section)?,
    })
}

fn parse_key_digest(section: &Section) -> Result<[u8; 32], IniError> {
    let setting = section.required("key_sha256")?;
    let invalid =
        || section.invalid_value(setting, "write the SHA-256 of the key as 64 hex digits");
    if setting.value.len() != 64 || !setting.value.is_ascii() {
        return Err(invalid());
    }
    let mut digest = [0; 32];
    for (index, byte) in digest.iter_mut().enumerate() {
        let digits = &setting.value[index * 2..index * 2 + 2];
        *byte = u8::from_str_radix(digits, 16).map_err(|_| invalid())?;
    }
    Ok(digest)
}

fn parse_group(name: Arc<str>, section: &Section) -> Result<Group, IniError> {
    section.reject_unknown_settings(&GROUP_SETTINGS)?;
    let group = Group {
        name,
        entry: Arc::clone(&section.required("entry")?.value),
        ranks: section.parse("ranks", "write the number of ranks, such as 8")?,
        experts: section.parse("experts", "write the experts in a layer, such as 64")?,
        slots_per_rank: section.parse("slots_per_rank", "write the expert slots of a rank")?,
        skew_weight: section.parse_or("skew_weight", 1.0, "write a number such as 1.0")?,
        cost_weight: section.parse_or("cost_weight", 1.0, "write a number such as 1.0")?,
    };
    let slots = u64::from(group.ranks) * u64::from(group.slots_per_rank);
    if group.ranks == 0 || slots < u64::from(group.experts) {
        let setting = section.required("slots_per_rank")?;
        return Err(section.invalid_value(
            setting,
            "ranks times slots_per_rank must be at least the number of experts",
        ));
    }
    Ok(group)
}

fn parse_limits(section: &Section) -> Result<Limits, IniError> {
    Ok(Limits {
        concurrency: parse_count(section, "concurrency", 0)?,
        requests_per_second: parse_count(section, "requests_per_second", 0)?,
        tokens_per_second: parse_count(section, "tokens_per_second", 0)?,
    })
}

fn parse_count(section: &Section, name: &str, default: u32) -> Result<u32, IniError> {
    section.parse_or(name, default, "write a whole number; 0 means no limit")
}

fn parse_positive_ms(section: &Section, name: &str, default: u64) -> Result<u64, IniError> {
    let remedy = "write a whole number of milliseconds, at least 1";
    let value = section.parse_or(name, default, remedy)?;
    match section.get(name) {
        Some(setting) if value == 0 => Err(section.invalid_value(setting, remedy)),
        _ => Ok(value),
    }
}

fn parse_percent(section: &Section, name: &str, default: f64) -> Result<f64, IniError> {
    let remedy = "write a percentage above 0 and below 100, such as 99.9";
    let value = section.parse_or(name, default, remedy)?;
    match section.get(name) {
        Some(setting) if !(value > 0.0 && value < 100.0) => {
            Err(section.invalid_value(setting, remedy))
        }
        _ => Ok(value),
    }
}

/// Parses a setting with a fixed set of values. The first choice is the default.
fn parse_choice<T: Copy>(
    section: &Section,
    name: &str,
    choices: &[(&str, T)],
) -> Result<T, IniError> {
    let Some(setting) = section.get(name) else {
        return Ok(choices[0].1);
    };
    let chosen = choices
        .iter()
        .find(|(choice, _)| *choice == &*setting.value);
    let Some((_, value)) = chosen else {
        let names: Vec<_> = choices.iter().map(|(choice, _)| *choice).collect();
        return Err(section.invalid_value(setting, format!("write one of {}", names.join(", "))));
    };
    Ok(*value)
}
