//! Detects dead connections by heartbeats.
//!
//! A connection can go silent without a reset, such as when a middlebox has
//! dropped its state while new connections still work. TCP takes minutes to
//! detect that. Each side therefore sends pings inside the connection. When
//! they get no reply, a new connection is dialled: if it succeeds, only the old
//! connection was dead, and the agent can still be asked about its commands;
//! if it fails, the peer itself is unreachable.

use crate::time::MonoMs;

/// Intervals and timeouts of the heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct LivenessConfig {
    /// Time between pings.
    pub ping_interval_ms: u64,
    /// Time without any received data after which the connection counts as dead.
    pub silence_timeout_ms: u64,
    /// Factor applied to both while no request is waiting on the connection.
    pub idle_factor: u64,
    /// Upper bound of the delay before the first redial.
    pub redial_min_ms: u64,
    /// Upper bound of the delay before any redial.
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

/// The result of [`LinkHealth::check`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessAction {
    /// Do nothing until the next check.
    Wait,
    /// Send a ping.
    Ping,
    /// Close the connection and dial a new one.
    Reconnect,
}

/// Heartbeat state of one connection.
#[derive(Debug)]
pub struct LinkHealth {
    config: LivenessConfig,
    last_ping_ms: MonoMs,
    /// When the first ping was sent since data was last received.
    unanswered_ping_ms: Option<MonoMs>,
}

impl LinkHealth {
    /// Creates the state of a connection that was opened at `now_ms`.
    #[must_use]
    pub fn new(config: LivenessConfig, now_ms: MonoMs) -> Self {
        Self {
            config,
            last_ping_ms: now_ms,
            unanswered_ping_ms: None,
        }
    }

    /// Records that data arrived on the connection at `at_ms`.
    pub fn on_received(&mut self, at_ms: MonoMs) {
        self.unanswered_ping_ms = self.unanswered_ping_ms.filter(|sent_ms| at_ms < *sent_ms);
    }

    /// Decides whether to ping or to reconnect.
    ///
    /// Idle connections (`is_idle`, no request is waiting) are pinged less often:
    /// an entry has more than a hundred of them, and their pings would make up
    /// most of its traffic. Silence is measured from an unanswered ping, so a
    /// connection that becomes busy is always pinged before it counts as dead.
    ///
    /// A process that was paused itself has received nothing, although its peer
    /// is healthy: the first check after a pause only sends a ping, and silence
    /// is measured from that ping.
    pub fn check(&mut self, is_idle: bool, now_ms: MonoMs) -> LivenessAction {
        let factor = if is_idle { self.config.idle_factor } else { 1 };
        let ping_interval_ms = self.config.ping_interval_ms * factor;
        let reply_timeout_ms = self.config.silence_timeout_ms * factor - ping_interval_ms;
        let pause_threshold_ms = self.config.ping_interval_ms * self.config.idle_factor * 3;
        let since_ping_ms = now_ms.since(self.last_ping_ms);
        match self.unanswered_ping_ms {
            _ if since_ping_ms > pause_threshold_ms => {
                self.unanswered_ping_ms = None;
                self.ping(now_ms)
            }
            Some(sent_ms) if now_ms.since(sent_ms) >= reply_timeout_ms => LivenessAction::Reconnect,
            _ if since_ping_ms >= ping_interval_ms => self.ping(now_ms),
            _ => LivenessAction::Wait,
        }
    }

    fn ping(&mut self, now_ms: MonoMs) -> LivenessAction {
        self.last_ping_ms = now_ms;
        self.unanswered_ping_ms = self.unanswered_ping_ms.or(Some(now_ms));
        LivenessAction::Ping
    }
}

/// Returns the delay before redial number `attempt` (from 0), with jitter from `random`.
///
/// The delay doubles up to the configured maximum. The jitter keeps a thousand peers
/// of a restarted process from dialling it in the same millisecond.
#[must_use]
pub fn redial_delay_ms(config: &LivenessConfig, attempt: u32, random: u64) -> u64 {
    let doubled = config
        .redial_min_ms
        .saturating_mul(1 << attempt.min(16))
        .min(config.redial_max_ms);
    let half = (doubled / 2).max(1);
    half + random % half
}
