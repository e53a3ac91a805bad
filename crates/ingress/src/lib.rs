//! Bounds on what clients can make a process hold.
//!
//! Clients may send bodies that never end, heads that never end, or nothing at all, and may not read
//! what they are sent. Whatever they do, a process must stay within the memory and the descriptors
//! of its VM and go on serving others. [`Bounds`] derives from these how many connections a process
//! keeps and how much memory bodies may take. [`ConnectionTable`] and [`MemoryAccount`] keep account
//! of them and choose what is closed or refused once a bound is reached: first what has made the
//! least progress for what it holds.
//!
//! All that is taken from an account is returned by a guard when it is dropped.

mod body;
mod bounds;
mod connections;
mod log_limit;
mod memory;
mod response;
mod stream;

pub use body::{ReadError, read_body, read_response_body};
pub use bounds::Bounds;
pub use connections::{CloseCause, ConnectionGuard, ConnectionTable, Phase, PhaseCounts};
pub use log_limit::LogLimit;
pub use memory::{Buffer, BufferError, BufferKind, MemoryAccount};
pub use response::TrackedBody;
pub use stream::{ClientStream, StreamTimeouts, bound_kernel_buffers};
