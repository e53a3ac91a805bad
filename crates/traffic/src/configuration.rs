//! One version of the operator's configuration: routes, services, client
//! accounts and bounds on what callers may send.
//!
//! A version is taken up as a whole and never changed afterwards, so a
//! request that holds one sees one consistent set of routes.

use std::sync::Arc;

use indexmap::IndexMap;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run any number of times.
    Safe,
    /// May run once at most.
    Unsafe,
    /// A stream of events; another target may go on behind the last event
    /// delivered if `resumable`, and it runs once at most otherwise.
    Stream {
        /// Whether another target may go on with it.
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
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// The host it serves.
    pub host: Arc<str>,
    /// The beginning of its paths; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// The longest time a request is kept without its final answer.
    pub timeout_ms: u64,
    /// Time within which an answer (a stream's first event) has its full
    /// worth to the caller.
    pub objective_ms: u64,
    /// The longest pause between two events of a stream that is on time.
    pub pause_objective_ms: Option<u64>,
    /// How urgent its requests are; 0 is first.
    pub urgency: u32,
    /// The services and their shares; never empty.
    pub shares: Vec<Share>,
    /// Targets that one request may be sent to at most.
    pub max_targets: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// The service for a request, by the shares' weights; `random` is spread
    /// evenly over all values.
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
        let mut left = random % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// How a model engine spends its time, as the operator's document gives it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Generations that one engine runs at once.
    pub slots: u32,
    /// Fixed time of a token step.
    pub step_ms: f64,
    /// Added to a token step by each running generation.
    pub per_sequence_ms: f64,
    /// Added to a token step by each thousand tokens of a generation's context.
    pub context_per_1000_ms: f64,
    /// Token steps of one pass.
    pub steps_per_pass: u32,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Tokens of a usual prompt.
    pub typical_prompt_tokens: f64,
    /// Tokens of a usual answer.
    pub typical_response_tokens: f64,
    /// Its experts, if it is a rank of an expert-parallel group.
    pub experts: Option<ExpertModel>,
}

/// The experts of a group's ranks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertModel {
    /// Sets of layers whose experts are placed apart.
    pub layer_sets: usize,
    /// Experts of one set.
    pub experts: usize,
    /// Experts on one rank in one set, at most.
    pub slots_per_rank: usize,
    /// New experts on one rank in one set, at most, for one change of maps.
    pub max_new_per_set: usize,
    /// Megabytes of one expert.
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

/// A service as the operator describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Connections one target accepts from all callers together.
    pub max_connections: u32,
    /// The path at which its targets tell their health; `None` if the operator names none.
    pub health_path: Option<Arc<str>>,
    /// How its targets spend their time, if they are model engines.
    pub engine: Option<EngineModel>,
}

/// A customer, known by its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Its name, which targets are told in place of the key.
    pub name: Arc<str>,
    /// How urgent its requests are, in place of the route's urgency.
    pub urgency: Option<u32>,
}

/// Bounds on what a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size of a request's head.
    pub max_header_bytes: usize,
    /// Size of a request's body.
    pub max_body_bytes: usize,
    /// Time for the head of a request.
    pub header_timeout_ms: u64,
    /// Time that a connection may stay open without a request.
    pub idle_timeout_ms: u64,
}

/// What a configuration is built from.
#[derive(Clone, Debug)]
pub struct ConfigurationParts {
    /// Its version; versions only rise.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Client accounts by key; `None` if requests carry no keys.
    pub accounts: Option<IndexMap<Arc<str>, Arc<ClientAccount>>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Its version; versions only rise.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Routes by host, those with the longest prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<Route>>>,
    services: IndexMap<Arc<str>, Arc<Service>>,
    accounts: Option<IndexMap<Arc<str>, Arc<ClientAccount>>>,
}

/// Why a key gives no access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The route needs a key and the request has none.
    Missing,
    /// No client account holds the key.
    Unknown,
}

impl Configuration {
    /// Builds the lookup tables.
    #[must_use]
    pub fn new(parts: ConfigurationParts) -> Self {
        let mut hosts: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for route in parts.routes {
            let host = Arc::clone(&route.host);
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            limits: parts.limits,
            hosts,
            services: services
                .map(|service| (Arc::clone(&service.name), Arc::new(service)))
                .collect(),
            accounts: parts.accounts,
        }
    }

    /// The route of a request: the longest prefix among its host's routes.
    ///
    /// A host is compared without its port and without regard to case.
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

    /// How many routes there are.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether callers identify themselves by keys at all.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        self.accounts.is_some()
    }

    /// The client account of a request on `route`; `None` where the route
    /// needs no key.
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
