//! Limits that hold over all processes as a sum, without asking anyone for
//! each request.
//!
//! Each limit has a home, which splits it into shares. A holder uses no more
//! than its share; unused capacity is given to who needs it. What keeps the
//! sum below the limit, whatever is lost or late:
//!
//! - A share ends on its *holder's* clock, counted from when it sent the
//!   question. The home counts it as outstanding from when it answered, and
//!   for longer. So the holder stops before the home gives the share again.
//! - A holder that gets less lowers at once; the home raises another only
//!   after the lower share was confirmed or the old one has ended. Requests
//!   that still run above a lowered share count as using it.
//! - A new home gives nothing until every share of the former one has ended.
//!
//! Lost messages and dead holders therefore waste some of a limit for a
//! while; they never overrun it.

mod bucket;
mod holder;
mod home;

pub use bucket::TokenBucket;
pub use holder::{GrantedShare, ShareHolder};
pub use home::{LimitHome, ShareConfig, ShareRequest};
