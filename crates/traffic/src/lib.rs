//! Routing and load-balancing decisions of an entry, which is a front-end process that sends
//! callers' requests to targets. They are pure state machines: no socket, clock, thread or random
//! source.
//!
//! | Module | Decides |
//! |---|---|
//! | [`configuration`] | which route, service and client account a request belongs to |
//! | [`directory`] | which targets exist, which are leaving, and which of two lists is newer |
//! | [`cold`] | how long targets are cold, and which share of their requests an entry may send |
//! | [`concurrency`] | how many generations may run at once |
//! | [`demand`] | how many slots the requests of each urgency need |
//! | [`dispatch`] | which requests are queued, placed at a target or refused |
//! | [`failover`] | whether a stream may continue at another target |
//! | [`health`] | which targets are ejected because their requests failed |
//! | [`ownership`] | which targets an entry prefers if many entries share them |
//! | [`evacuation`] | which data centres' targets get no new requests |
//! | [`engine_update`] | which engines are slow, and which groups are open |
//! | [`regions`] | in which regions a request may run |
//! | [`retry_after`] | when refused callers should retry |
//! | [`retry_budget`] | how many requests may be sent once more |
//! | [`slot_sharing`] | how many requests each entry may run at each target |
//! | [`stream`] | which events of a stream were delivered, and where to resume it |
//! | [`target`] | what identifies a target and its incarnations |
//! | [`invalid_entries`] | which entries of the target list are invalid |

pub mod cold;
pub mod concurrency;
pub mod configuration;
pub mod demand;
pub mod directory;
pub mod dispatch;
pub mod engine_update;
pub mod evacuation;
pub mod failover;
pub mod health;
pub mod invalid_entries;
pub mod ownership;
pub mod regions;
pub mod retry_after;
pub mod retry_budget;
pub mod shutdown;
pub mod slot_sharing;
pub mod stream;
pub mod target;
