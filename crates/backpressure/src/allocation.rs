//! Gives out the permits for one target.

use std::net::SocketAddr;

use berylhook_core::time::MonoMs;
use indexmap::IndexMap;

use crate::rate::RequestRate;

/// How long a permit is valid on its holder's clock, at least. Entries of a large fleet
/// have a request for one target each second or so.
const LEAST_VALID_MS: f64 = 1_000.0;

/// How long at most: a limit that has fallen is kept to after this time.
const MOST_VALID_MS: f64 = 4_000.0;

/// Permits that may be out at a small limit. With more, entries that save them up could
/// use them all at once; with fewer, most would end unused.
const OUT_AT_ONCE: f64 = 2.0;

/// What a home begins in debt by: the permits of a second.
const DEBT_MS: f64 = 1_000.0;

/// Time over which permits that nobody wants may be saved up, beside one.
const SAVED_MS: f64 = 250.0;

/// How long a wish counts in dividing what there is: a few questions.
const WISH_VALID_MS: u64 = 600;

const MS_PER_S: f64 = 1_000.0;

/// The permits for one target at its home.
#[derive(Debug)]
pub struct Allocation {
    permits: f64,
    filled_ms: MonoMs,
    /// What entries wished for last, and when.
    wishes: Vec<(SocketAddr, u32, MonoMs)>,
    /// `None` once it is known what a former home gave out.
    debt: Option<Debt>,
}

/// What a former home may have given out, until all who may have got it have told.
#[derive(Debug)]
struct Debt {
    permits: f64,
    /// The permits that entries had when they first asked this home.
    held: IndexMap<SocketAddr, u32>,
}

impl Allocation {
    /// A home begins in debt by what a former one may have given out.
    #[must_use]
    pub fn after_takeover(limit: RequestRate, now_ms: MonoMs) -> Self {
        let debt = limit.per_s() * DEBT_MS / MS_PER_S;
        Self {
            permits: -debt,
            filled_ms: now_ms,
            wishes: Vec::new(),
            debt: Some(Debt {
                permits: debt,
                held: IndexMap::new(),
            }),
        }
    }

    /// An entry tells the permits that it has. Once all of `holders` have, their sum takes the
    /// place of the debt.
    pub fn on_held_permits(&mut self, from: SocketAddr, held: u32, holders: &[SocketAddr]) {
        let Some(debt) = &mut self.debt else {
            return;
        };
        debt.held.entry(from).or_insert(held);
        if holders.iter().any(|holder| !debt.held.contains_key(holder)) {
            return;
        }
        let held: u32 = debt.held.values().sum();
        self.permits += debt.permits - f64::from(held);
        self.debt = None;
    }

    /// An entry wishes for permits; `part` of the limit is given out.
    pub fn grant(
        &mut self,
        limit: RequestRate,
        part: f64,
        wish: (SocketAddr, u32),
        now_ms: MonoMs,
    ) -> u32 {
        self.fill(limit.per_s() * part, now_ms);
        let (from, wished) = wish;
        self.wishes
            .retain(|(of, _, at_ms)| *of != from && now_ms.since(*at_ms) < WISH_VALID_MS);
        self.wishes.push((from, wished, now_ms));
        let granted = wished.min(self.fair_part(wished));
        self.permits -= f64::from(granted);
        granted
    }

    /// What there is, divided by what all wish for. One permit is not divided.
    fn fair_part(&self, wished: u32) -> u32 {
        if self.permits < 1.0 {
            return 0;
        }
        let all: f64 = self
            .wishes
            .iter()
            .map(|(_, count, _)| f64::from(*count))
            .sum();
        let fair = (self.permits * f64::from(wished) / all.max(1.0)).ceil();
        let fair = fair.min(self.permits);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // positive, saturates
        let fair = fair as u32;
        fair
    }

    /// How long permits under that limit are valid.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // clamped first
    pub fn permit_ttl_ms(limit: RequestRate) -> u64 {
        let out_ms = OUT_AT_ONCE / limit.per_s() * MS_PER_S;
        out_ms.clamp(LEAST_VALID_MS, MOST_VALID_MS) as u64
    }

    #[allow(clippy::cast_precision_loss)] // milliseconds since the last question
    fn fill(&mut self, per_s: f64, now_ms: MonoMs) {
        let elapsed_ms = now_ms.since(self.filled_ms) as f64;
        self.filled_ms = self.filled_ms.max(now_ms);
        let most = per_s * SAVED_MS / MS_PER_S + 1.0;
        self.permits = (self.permits + per_s * elapsed_ms / MS_PER_S).min(most);
    }
}
