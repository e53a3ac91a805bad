//! Limits on the total over all processes, without a message per request.
//!
//! Each limit has a *home*, the process that divides it into shares. Each
//! holder uses at most its share, and the shares follow the holders' demand.
//! The total stays within the limit, even if messages are lost or late:
//!
//! - A share expires on its *holder's* clock, counted from when the holder sent
//!   the request for it. The home counts the share as outstanding from when it
//!   sent the reply, and for longer. The holder therefore stops using the share
//!   before the home grants it to another holder.
//! - A holder whose share is lowered uses the lower share at once. The home
//!   raises another holder's share only after the lower share was confirmed or
//!   the previous one has expired. Running requests that exceed a lowered share
//!   still count as outstanding.
//! - A new home grants nothing until all shares of the previous home have expired.
//!
//! Lost messages and crashed holders leave a part of the limit unused for a
//! while, but never cause the limit to be exceeded.

mod bucket;
mod holder;
mod home;

pub use bucket::TokenBucket;
pub use holder::{GrantedShare, ShareHolder};
pub use home::{LimitHome, ShareConfig, ShareRequest};
