//! The account of the memory that bodies take, and the choice of what is given up once it is full.
//!
//! Bytes are charged as they are allocated, not as they are announced, so a client holds no more
//! than it has sent. A buffer that grows is charged for its former and its new allocation while both
//! exist.
//!
//! Once the account is full, request bodies that are not complete are given up, first those that hold
//! the most bytes for the longest time without progress, weighed by what their client account holds.
//! What is complete is kept. Nobody waits for room, so half-read bodies cannot starve each other: if
//! nothing can be given up, the body that asks is refused. A part of the account is left to small
//! bodies, so that ordinary requests find room beside large ones.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use thiserror::Error;
use tokio::sync::Notify;

/// The largest allocation that may use the part of the account that is left to small bodies.
const SMALL_BYTES: usize = 64 << 10;

/// Parts of the account, in eighths, that larger bodies of requests and of responses may fill. A
/// request keeps its body until it has its response, so responses may fill more.
const LARGE_REQUEST_EIGHTHS: u64 = 5;
const LARGE_RESPONSE_EIGHTHS: u64 = 7;

/// The part of the account, in eighths, that request bodies of one client account may fill.
const OWNER_EIGHTHS: u64 = 4;

/// The first allocation of a body.
const MIN_ALLOCATION_BYTES: usize = 1 << 10;

/// Bytes, and fraction of what was received, that count as progress of a body.
const PROGRESS_BYTES: usize = 4 << 10;
const PROGRESS_FRACTION: usize = 16;

/// Time without progress after which an incomplete body may be given up.
const MIN_STALL: Duration = Duration::from_millis(250);

/// What a buffer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferKind {
    /// The body of a request, which may be given up until it is complete.
    Request,
    /// The body of a response.
    Response,
}

/// Why a buffer takes no more bytes. They are gone after any of these.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BufferError {
    /// The body exceeds its limit.
    #[error("the body is longer than its limit; send a smaller one")]
    TooLong,
    /// The account is full and nothing in it can be given up.
    #[error("bodies take all memory that is set aside for them; send the request again later")]
    NoMemory,
    /// The body made too little progress for what it held, and was given up for another one.
    #[error("the body was given up for another one; send the request again without a pause")]
    GivenUp,
}

/// The memory that the bodies of a process may take together.
#[derive(Debug)]
pub struct MemoryAccount {
    state: Mutex<State>,
    /// Notified whenever bytes are returned.
    returned: Notify,
}

#[derive(Debug)]
struct State {
    capacity_bytes: u64,
    held: HeldBytes,
    /// Buffers that are not complete.
    buffers: IndexMap<BufferId, OpenBuffer>,
    /// Bytes of requests by client account.
    owners: IndexMap<Arc<str>, u64>,
    next_id: BufferId,
}

type BufferId = u64;

/// Bytes held, by kind.
#[derive(Clone, Copy, Debug, Default)]
struct HeldBytes {
    requests: u64,
    responses: u64,
}

impl HeldBytes {
    fn of(&mut self, kind: BufferKind) -> &mut u64 {
        match kind {
            BufferKind::Request => &mut self.requests,
            BufferKind::Response => &mut self.responses,
        }
    }

    fn total(self) -> u64 {
        self.requests + self.responses
    }
}

#[derive(Debug)]
struct OpenBuffer {
    kind: BufferKind,
    owner: Option<Arc<str>>,
    content: Vec<u8>,
    progress: Progress,
    given_up: Arc<Notify>,
    is_given_up: bool,
}

/// When a body last made progress.
#[derive(Clone, Copy, Debug)]
struct Progress {
    at: Instant,
    received_bytes: usize,
}

impl Progress {
    /// Records what was received so far; returns whether that is progress.
    fn record(&mut self, received_bytes: usize, now: Instant) -> bool {
        let step = PROGRESS_BYTES.max(received_bytes / PROGRESS_FRACTION);
        let is_progress = received_bytes >= self.received_bytes + step;
        if is_progress {
            *self = Self {
                at: now,
                received_bytes,
            };
        }
        is_progress
    }
}

impl MemoryAccount {
    /// Creates an account of `capacity_bytes`.
    #[must_use]
    pub fn new(capacity_bytes: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                capacity_bytes,
                held: HeldBytes::default(),
                buffers: IndexMap::new(),
                owners: IndexMap::new(),
                next_id: 0,
            }),
            returned: Notify::new(),
        })
    }

    /// Changes the capacity. What is held stays; nothing is added until it fits.
    pub fn set_capacity(&self, capacity_bytes: u64) {
        self.lock().capacity_bytes = capacity_bytes;
    }

    /// Bytes that bodies of this kind hold.
    #[must_use]
    pub fn held_bytes(&self, kind: BufferKind) -> u64 {
        *self.lock().held.of(kind)
    }

    /// Opens a buffer for a body of at most `max_bytes`. Its bytes count for `owner`, if there is one.
    #[must_use]
    pub fn open(
        self: &Arc<Self>,
        kind: BufferKind,
        owner: Option<Arc<str>>,
        max_bytes: usize,
        now: Instant,
    ) -> Buffer {
        let given_up = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let buffer = OpenBuffer {
            kind,
            owner,
            content: Vec::new(),
            progress: Progress {
                at: now,
                received_bytes: 0,
            },
            given_up: Arc::clone(&given_up),
            is_given_up: false,
        };
        state.buffers.insert(id, buffer);
        drop(state);
        Buffer {
            account: Arc::clone(self),
            id,
            max_bytes,
            given_up,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn charge(&mut self, kind: BufferKind, owner: Option<&Arc<str>>, bytes: usize) {
        *self.held.of(kind) += bytes as u64;
        if let Some(owner) = owner.filter(|_| kind == BufferKind::Request) {
            *self.owners.entry(Arc::clone(owner)).or_default() += bytes as u64;
        }
    }

    fn give_back(&mut self, kind: BufferKind, owner: Option<&Arc<str>>, bytes: usize) {
        *self.held.of(kind) -= bytes as u64;
        let owner = owner.filter(|_| kind == BufferKind::Request && bytes > 0);
        let Some(owner) = owner else {
            return;
        };
        let held_bytes = self.owners.get_mut(owner).expect("the owner was charged");
        *held_bytes -= bytes as u64;
        if *held_bytes == 0 {
            self.owners.swap_remove(owner);
        }
    }

    fn owner_bytes(&self, owner: Option<&Arc<str>>) -> Option<u64> {
        owner.map(|owner| self.owners.get(owner).copied().unwrap_or(0))
    }

    /// The bytes that may be held with an allocation of this size.
    fn limit_bytes(&self, kind: BufferKind, allocation_bytes: usize) -> u64 {
        let eighths = match kind {
            _ if allocation_bytes <= SMALL_BYTES => 8,
            BufferKind::Request => LARGE_REQUEST_EIGHTHS,
            BufferKind::Response => LARGE_RESPONSE_EIGHTHS,
        };
        self.capacity_bytes * eighths / 8
    }

    /// Makes room for another allocation of a buffer, if that is possible.
    fn make_room(&mut self, id: BufferId, bytes: usize, now: Instant) -> Result<(), BufferError> {
        let buffer = &self.buffers[&id];
        let (kind, owner) = (buffer.kind, buffer.owner.clone());
        let limit_bytes = self.limit_bytes(kind, bytes);
        let excess_bytes = (self.held.total() + bytes as u64).saturating_sub(limit_bytes);
        self.give_up_bytes(excess_bytes, |_| true, id, now)?;
        let is_bounded_by_owner = kind == BufferKind::Request;
        let owner_bytes = self.owner_bytes(owner.as_ref());
        let Some(owner_bytes) = owner_bytes.filter(|_| is_bounded_by_owner) else {
            return Ok(());
        };
        let owner_limit_bytes = self.capacity_bytes * OWNER_EIGHTHS / 8;
        let excess_bytes = (owner_bytes + bytes as u64).saturating_sub(owner_limit_bytes);
        self.give_up_bytes(excess_bytes, |other| other.owner == owner, id, now)
    }

    /// Gives up incomplete bodies that hold at least `bytes` together; none if that is not possible.
    fn give_up_bytes(
        &mut self,
        bytes: u64,
        may_give_up: impl Fn(&OpenBuffer) -> bool,
        asking: BufferId,
        now: Instant,
    ) -> Result<(), BufferError> {
        if bytes == 0 {
            return Ok(());
        }
        let others = self.buffers.iter().filter(|(id, buffer)| {
            **id != asking && buffer.stall(now) >= MIN_STALL && may_give_up(buffer)
        });
        let mut others: Vec<(u128, BufferId, u64)> = others
            .map(|(id, buffer)| {
                (
                    self.cost(buffer, now),
                    *id,
                    buffer.content.capacity() as u64,
                )
            })
            .collect();
        let available_bytes: u64 = others.iter().map(|(_, _, held_bytes)| held_bytes).sum();
        if available_bytes < bytes {
            return Err(BufferError::NoMemory);
        }
        others.sort_unstable_by(|one, other| other.cmp(one));
        let mut given_up_bytes = 0;
        for (_, id, held_bytes) in others {
            if given_up_bytes >= bytes {
                break;
            }
            self.give_up(id);
            given_up_bytes += held_bytes;
        }
        Ok(())
    }

    /// What an incomplete body costs others.
    fn cost(&self, buffer: &OpenBuffer, now: Instant) -> u128 {
        let held_bytes = buffer.content.capacity() as u128;
        let owner_bytes = self.owner_bytes(buffer.owner.as_ref());
        let owner_weight = owner_bytes.unwrap_or(self.held.requests);
        held_bytes * buffer.stall(now).as_millis() * u128::from(owner_weight)
    }

    fn give_up(&mut self, id: BufferId) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        buffer.is_given_up = true;
        buffer.given_up.notify_one();
        self.empty(id);
    }

    /// Frees the content of a buffer.
    fn empty(&mut self, id: BufferId) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        let content = std::mem::take(&mut buffer.content);
        let (kind, owner) = (buffer.kind, buffer.owner.clone());
        self.give_back(kind, owner.as_ref(), content.capacity());
    }

    /// Enlarges a buffer so that `additional` bytes fit.
    fn reserve(
        &mut self,
        id: BufferId,
        additional: usize,
        max_bytes: usize,
        now: Instant,
    ) -> Result<(), BufferError> {
        let buffer = &self.buffers[&id];
        if buffer.is_given_up {
            return Err(BufferError::GivenUp);
        }
        let content = &buffer.content;
        if content.len() + additional > max_bytes {
            return Err(BufferError::TooLong);
        }
        let former_bytes = content.capacity();
        let needed_bytes = content.len() + additional;
        if needed_bytes <= former_bytes {
            return Ok(());
        }
        let doubled_bytes = (former_bytes * 2).max(MIN_ALLOCATION_BYTES);
        let new_bytes = doubled_bytes.min(max_bytes).max(needed_bytes);
        self.make_room(id, new_bytes, now)?;
        let buffer = self.buffers.get_mut(&id).expect("an open buffer is kept");
        let (kind, owner) = (buffer.kind, buffer.owner.clone());
        buffer
            .content
            .reserve_exact(new_bytes - buffer.content.len());
        let charged_bytes = buffer.content.capacity();
        self.charge(kind, owner.as_ref(), charged_bytes);
        self.give_back(kind, owner.as_ref(), former_bytes);
        Ok(())
    }
}

impl OpenBuffer {
    /// Time without progress; zero for what is not to be given up.
    fn stall(&self, now: Instant) -> Duration {
        match self.kind {
            BufferKind::Request => now.saturating_duration_since(self.progress.at),
            BufferKind::Response => Duration::ZERO,
        }
    }
}

/// The buffer of a body that is not complete. Its memory is returned when it is dropped.
#[derive(Debug)]
pub struct Buffer {
    account: Arc<MemoryAccount>,
    id: BufferId,
    max_bytes: usize,
    given_up: Arc<Notify>,
}

impl Buffer {
    /// Adds bytes; returns whether the body made progress.
    ///
    /// # Errors
    ///
    /// If the body is too long, was given up, or finds no room. Its memory is returned at once.
    pub fn append(&mut self, bytes: &[u8], now: Instant) -> Result<bool, BufferError> {
        let result = self.try_append(bytes, now);
        if result.is_err() {
            self.account.lock().empty(self.id);
            self.account.returned.notify_waiters();
        }
        result
    }

    /// Like [`Self::append`], but keeps what was added before if there is no room.
    ///
    /// # Errors
    ///
    /// If the body is too long, was given up, or finds no room.
    pub fn try_append(&mut self, bytes: &[u8], now: Instant) -> Result<bool, BufferError> {
        let mut state = self.account.lock();
        state.reserve(self.id, bytes.len(), self.max_bytes, now)?;
        let buffer = &mut state.buffers[&self.id];
        buffer.content.extend_from_slice(bytes);
        let received_bytes = buffer.content.len();
        Ok(buffer.progress.record(received_bytes, now))
    }

    /// Adds bytes, and waits for room if there is none.
    ///
    /// # Errors
    ///
    /// If the body is too long or was given up.
    pub async fn append_with_room(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        self.reserve_with_room(bytes.len()).await?;
        self.try_append(bytes, Instant::now()).map(|_| ())
    }

    /// Makes room for `additional` bytes, and waits for it if there is none.
    ///
    /// # Errors
    ///
    /// If the body is too long or was given up.
    pub async fn reserve_with_room(&mut self, additional: usize) -> Result<(), BufferError> {
        loop {
            let mut returned = pin!(self.account.returned.notified());
            // Registered before the attempt, so that no return is missed.
            returned.as_mut().enable();
            match self.try_reserve(additional, Instant::now()) {
                Err(BufferError::NoMemory) => returned.await,
                result => return result,
            }
        }
    }

    fn try_reserve(&self, additional: usize, now: Instant) -> Result<(), BufferError> {
        let mut state = self.account.lock();
        state.reserve(self.id, additional, self.max_bytes, now)
    }

    /// Waits until the body is given up.
    pub async fn until_given_up(&self) {
        self.given_up.notified().await;
    }

    /// Completes the body. Its memory is returned when the last clone of the result is dropped.
    ///
    /// # Errors
    ///
    /// If it was given up.
    pub fn finish(self) -> Result<Bytes, BufferError> {
        let mut state = self.account.lock();
        let buffer = &mut state.buffers[&self.id];
        if buffer.is_given_up {
            return Err(BufferError::GivenUp);
        }
        let former_bytes = buffer.content.capacity();
        let mut content = std::mem::take(&mut buffer.content);
        if former_bytes - content.len() > content.len() / 4 {
            content.shrink_to_fit();
        }
        let (kind, owner) = (buffer.kind, buffer.owner.clone());
        state.give_back(kind, owner.as_ref(), former_bytes);
        state.charge(kind, owner.as_ref(), content.capacity());
        drop(state);
        Ok(Bytes::from_owner(CompleteBody {
            charge: Charge {
                account: Arc::clone(&self.account),
                kind,
                owner,
                bytes: content.capacity(),
            },
            content,
        }))
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        state.empty(self.id);
        state.buffers.swap_remove(&self.id);
        drop(state);
        self.account.returned.notify_waiters();
    }
}

/// A complete body and its place in the account.
struct CompleteBody {
    // Freed before it is returned to the account: fields are dropped in their order.
    content: Vec<u8>,
    #[allow(dead_code)] // held for its drop
    charge: Charge,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Bytes that are charged to an account until this is dropped.
struct Charge {
    account: Arc<MemoryAccount>,
    kind: BufferKind,
    owner: Option<Arc<str>>,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        state.give_back(self.kind, self.owner.as_ref(), self.bytes);
        drop(state);
        self.account.returned.notify_waiters();
    }
}
