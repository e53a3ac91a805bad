//! One version of the operator's configuration: routes, services, client accounts and limits for
//! callers.
//!
//! A version is activated as a whole and never modified, so a request that holds one sees a
//! consistent set of routes.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The response is a stream of events. If `resumable`, another target may continue it after the
    /// last delivered event; otherwise it may run at most once.
    Stream {
        /// Whether another target may continue the stream.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request that may have run may be sent again.
    #[must_use]
    pub fn allows_second_run(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service among the route's shares.
    pub weight: u32,
}

/// The destination of requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests.
    pub host: Arc<str>,
    /// Prefix of the paths; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request is kept without its final response.
    pub timeout_ms: u64,
    /// Latency objective: a response (of a stream, its first event) within this time has its full
    /// worth to the caller.
    pub objective_ms: u64,
    /// Objective for the pauses between two events of a stream; a stream with a longer one is late.
    pub pause_objective_ms: Option<u64>,
    /// Urgency of the requests; 0 is the most urgent.
    pub urgency: u32,
    /// The services and their shares; never empty.
    pub shares: Vec<Share>,
    /// Largest number of targets to which one request may be sent.
    pub max_targets: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Names of the regions in which requests may run; `None` if they may run in any.
    pub allowed_regions: Option<Arc<[Arc<str>]>>,
}

impl Route {
    /// Chooses the service for a request by the shares' weights; `random` must be evenly
    /// distributed over all values.
    #[must_use]
    pub fn service_for(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut remaining = random % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Performance model of a model engine, as given in the operator's document.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Generations that one engine runs at once.
    pub slots: u32,
    /// Fixed duration of a token step.
    pub step_ms: f64,
    /// Additional duration of a token step per running generation.
    pub per_sequence_ms: f64,
    /// Additional duration of a token step per thousand tokens of a generation's context.
    pub context_per_1000_ms: f64,
    /// Token steps per forward pass.
    pub steps_per_pass: u32,
    /// Prompt tokens that are processed per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens of a typical prompt.
    pub typical_prompt_tokens: f64,
    /// Tokens of a typical response.
    pub typical_response_tokens: f64,
    /// Experts of the engine, if it is a rank of an expert-parallel group.
    pub experts: Option<ExpertModel>,
}

/// The experts of a group's ranks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertModel {
    /// Sets of layers; the experts of each set are placed separately.
    pub layer_sets: usize,
    /// Experts per set.
    pub experts: usize,
    /// Largest number of experts per set on one rank.
    pub slots_per_rank: usize,
    /// Largest number of experts per set that one rank may load for one change of expert maps.
    pub max_new_per_set: usize,
    /// Size of one expert in megabytes.
    pub expert_mb: f64,
    /// Megabits per second at which a rank copies experts.
    pub copy_mbps: f64,
}

impl ExpertModel {
    /// Milliseconds that a rank takes to copy one expert.
    #[must_use]
    pub fn copy_ms(&self) -> f64 {
        const BITS_PER_BYTE: f64 = 8.0;
        const MS_PER_S: f64 = 1_000.0;
        self.expert_mb * BITS_PER_BYTE * MS_PER_S / self.copy_mbps.max(f64::MIN_POSITIVE)
    }
}

/// A service, as described by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Largest number of connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// Path of the targets' health checks; `None` if the operator names none.
    pub health_path: Option<Arc<str>>,
    /// Performance model of the targets, if they are model engines.
    pub engine: Option<EngineModel>,
    /// How long a target is cold after its start, in seconds.
    pub cold_start_s: Option<f64>,
    /// Requests per second that a cold target tolerates; not bounded if `None` or 0.
    pub cold_per_s: Option<f64>,
}

/// A customer, identified by its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name of the client account, which is sent to targets in place of the key.
    pub name: Arc<str>,
    /// Urgency of the account's requests, which overrides the route's.
    pub urgency: Option<u32>,
    /// Names of the regions in which the account's requests may run; `None` if they may run in any.
    /// The route's list applies too.
    pub allowed_regions: Option<Arc<[Arc<str>]>>,
}

/// Limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's header section.
    pub max_header_bytes: usize,
    /// Largest size of a request's body.
    pub max_body_bytes: usize,
    /// Longest time for receiving the header section of a request.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay open without a request.
    pub idle_timeout_ms: u64,
}

/// The parts from which a configuration is built.
#[derive(Clone, Debug)]
pub struct ConfigurationParts {
    /// Version of the configuration; versions only increase.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Client accounts by API key; `None` if requests need no keys.
    pub accounts: Option<IndexMap<Arc<str>, Arc<ClientAccount>>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Version of the configuration; versions only increase.
    pub version: u64,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Longest time that any route keeps a request without its final response; 0 without routes.
    pub longest_timeout_ms: u64,
    /// Routes by host, in descending order of prefix length.
    hosts: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    services: IndexMap<Arc<str>, Arc<Service>>,
    accounts: Option<IndexMap<Arc<str>, Arc<ClientAccount>>>,
    urgency_levels: IndexMap<Arc<str>, UrgencyLevels>,
}

/// The urgencies of accounts and routes that the requests of a service combine, in descending
/// order of urgency.
type UrgencyLevels = IndexSet<(u32, u32)>;

/// Why a request has no access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The route needs an API key and the request has none.
    Missing,
    /// No client account has that API key.
    Unknown,
}

impl Configuration {
    /// Builds the lookup tables.
    #[must_use]
    pub fn new(parts: ConfigurationParts) -> Self {
        let timeouts = parts.routes.iter().map(|route| route.timeout_ms);
        let longest_timeout_ms = timeouts.max().unwrap_or_default();
        let mut hosts: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for route in parts.routes {
            let host = Arc::clone(&route.host);
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let urgency_levels = urgency_levels(&hosts, parts.accounts.as_ref());
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            limits: parts.limits,
            longest_timeout_ms,
            hosts,
            services: services
                .map(|service| (Arc::clone(&service.name), Arc::new(service)))
                .collect(),
            accounts: parts.accounts,
            urgency_levels,
        }
    }

    /// The route of a request: the one with the longest matching prefix among its host's routes.
    ///
    /// The port and the case of the host are ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether the routes that lead to a service differ in urgency.
    ///
    /// The accounts' urgencies alone do not count: they rank customers, and where all routes are
    /// equally urgent there is no kind of request that another must not delay.
    #[must_use]
    pub fn has_several_urgencies(&self, service: &str) -> bool {
        self.urgency_levels.contains_key(service)
    }

    /// The urgency of a request of `account` on `route` among those of `service`; 0 is the most
    /// urgent.
    ///
    /// An account's urgency takes precedence over the route's. Where the routes of a service differ
    /// in urgency, they also rank the requests of accounts with the same urgency, and the result is
    /// the level among all combinations.
    #[must_use]
    pub fn urgency(&self, service: &str, route: &Route, account: Option<&ClientAccount>) -> u32 {
        let of_account = account.and_then(|account| account.urgency);
        let first = of_account.unwrap_or(route.urgency);
        let levels = self.urgency_levels.get(service);
        let level = levels.and_then(|levels| levels.get_index_of(&(first, route.urgency)));
        level
            .and_then(|level| u32::try_from(level).ok())
            .unwrap_or(first)
    }

    /// The number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether callers need API keys at all.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.accounts.is_some()
    }

    /// The client account of a request on `route`; `None` if the request needs no key.
    ///
    /// # Errors
    ///
    /// If the route needs a key and `key` gives no access.
    pub fn account(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<ClientAccount>>, KeyError> {
        let Some(accounts) = &self.accounts else {
            return Ok(None);
        };
        let found = key.and_then(|key| accounts.get(key));
        match (found, key) {
            (Some(account), _) => Ok(Some(Arc::clone(account))),
            (None, _) if route.is_public => Ok(None),
            (None, Some(_)) => Err(KeyError::Unknown),
            (None, None) => Err(KeyError::Missing),
        }
    }
}

/// The urgency levels of the services whose routes differ in urgency.
fn urgency_levels(
    hosts: &IndexMap<Arc<str>, Vec<Arc<Route>>>,
    accounts: Option<&IndexMap<Arc<str>, Arc<ClientAccount>>>,
) -> IndexMap<Arc<str>, UrgencyLevels> {
    let mut by_service: IndexMap<Arc<str>, IndexSet<u32>> = IndexMap::new();
    for route in hosts.values().flatten() {
        for share in &route.shares {
            let urgencies = by_service.entry(Arc::clone(&share.service)).or_default();
            urgencies.insert(route.urgency);
        }
    }
    by_service.retain(|_, urgencies| urgencies.len() > 1);
    let accounts = accounts.into_iter().flat_map(IndexMap::values);
    let of_accounts: IndexSet<u32> = accounts.filter_map(|account| account.urgency).collect();
    let levels = by_service.into_iter().map(|(service, urgencies)| {
        let of_routes = urgencies.iter().map(|urgency| (*urgency, *urgency));
        let combined = of_accounts
            .iter()
            .flat_map(|first| urgencies.iter().map(|second| (*first, *second)));
        let mut levels: UrgencyLevels = of_routes.chain(combined).collect();
        levels.sort_unstable();
        (service, levels)
    });
    levels.collect()
}
