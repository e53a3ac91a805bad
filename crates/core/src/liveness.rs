//! When a silent connection is dead, and whether its peer is.
//!
//! A connection can go silent for good without a reset: a middlebox has
//! forgotten it, while new connections work. Waiting for TCP to notice takes
//! minutes. Each side pings inside the connection itself; silence starts a
//! probe over a fresh connection, which tells a dead connection (redial, the
//! agent can still be asked about its orders) from a dead peer.

use crate::time::MonoMs;

/// Timing of the checks.
#[derive(Clone, Copy, Debug)]
pub struct LivenessConfig {
    /// Time between pings.
    pub ping_interval_ms: u64,
    /// Silence after which the connection is given up.
    pub silence_timeout_ms: u64,
    /// How many times longer both are while nobody waits for the connection.
    pub idle_factor: u64,
    /// First wait before dialling again.
    pub redial_min_ms: u64,
    /// Longest wait before dialling again.
    pub redial_max_ms: u64,
}

impl Default for LivenessConfig {
    fn default() -> Self {
        Self {
            ping_interval_ms: 300,
            silence_timeout_ms: 1_000,
            idle_factor: 3,
            redial_min_ms: 50,
            redial_max_ms: 1_000,
        }
    }
}

/// What to do about a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Nothing.
    Wait,
    /// Send a ping.
    Ping,
    /// Give the connection up and dial a fresh one.
    Reconnect,
}

/// One connection's signs of life.
#[derive(Debug)]
pub struct LinkHealth {
    config: LivenessConfig,
    pinged_ms: MonoMs,
    /// When the first ping was sent that nothing has followed yet.
    unanswered_ms: Option<MonoMs>,
}

impl LinkHealth {
    /// A connection that was opened at `now_ms`.
    #[must_use]
    pub fn new(config: LivenessConfig, now_ms: MonoMs) -> Self {
        Self {
            config,
            pinged_ms: now_ms,
            unanswered_ms: None,
        }
    }

    /// Anything arrived on the connection.
    pub fn on_received(&mut self, at_ms: MonoMs) {
        self.unanswered_ms = self.unanswered_ms.filter(|pinged_ms| at_ms < *pinged_ms);
    }

    /// Decides what to do now.
    ///
    /// A connection that nobody waits for (`is_idle`) is looked at less often:
    /// an entry has more than a hundred of them, and their pings would be most
    /// of what it sends. Silence counts from a ping, so a connection that
    /// becomes busy is asked before it is given up.
    ///
    /// A process that was itself paused finds the peer silent through no
    /// fault of the peer's: the first check after a pause only pings, and
    /// the silence counts from there.
    pub fn check(&mut self, is_idle: bool, now_ms: MonoMs) -> LivenessAction {
        let factor = if is_idle { self.config.idle_factor } else { 1 };
        let ping_interval_ms = self.config.ping_interval_ms * factor;
        let patience_ms = self.config.silence_timeout_ms * factor - ping_interval_ms;
        let paused_ms = self.config.ping_interval_ms * self.config.idle_factor * 3;
        let since_ping_ms = now_ms.since(self.pinged_ms);
        match self.unanswered_ms {
            _ if since_ping_ms > paused_ms => {
                self.unanswered_ms = None;
                self.ping(now_ms)
            }
            Some(pinged_ms) if now_ms.since(pinged_ms) >= patience_ms => LivenessAction::Reconnect,
            _ if since_ping_ms >= ping_interval_ms => self.ping(now_ms),
            _ => LivenessAction::Wait,
        }
    }

    fn ping(&mut self, now_ms: MonoMs) -> LivenessAction {
        self.pinged_ms = now_ms;
        self.unanswered_ms = self.unanswered_ms.or(Some(now_ms));
        LivenessAction::Ping
    }
}

/// The wait before dial number `attempt` (from 0), spread by `random`.
///
/// Doubles up to the longest wait; the jitter keeps a thousand peers of a
/// restarted process from dialling it in the same millisecond.
#[must_use]
pub fn redial_delay_ms(config: &LivenessConfig, attempt: u32, random: u64) -> u64 {
    let doubled = config
        .redial_min_ms
        .saturating_mul(1 << attempt.min(16))
        .min(config.redial_max_ms);
    let half = (doubled / 2).max(1);
    half + random % half
}
