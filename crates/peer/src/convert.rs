//! Conversions between the generated messages and the types of `berylhook-core`.

use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::start_gate::RevokeReply;

use crate::proto::frame::Kind;
use crate::proto::{Frame, Revoked, revoked};

/// Builds a frame that belongs to request `id`.
#[must_use]
pub fn frame(id: RequestId, kind: Kind) -> Frame {
    Frame {
        origin: id.origin.0,
        counter: id.counter,
        kind: Some(kind),
    }
}

/// Returns the id of the request that a frame belongs to.
#[must_use]
pub fn request_id(frame: &Frame) -> RequestId {
    RequestId {
        origin: Incarnation(frame.origin),
        counter: frame.counter,
    }
}

impl From<RevokeReply> for Revoked {
    fn from(reply: RevokeReply) -> Self {
        let answer = match reply {
            RevokeReply::NoRecord => revoked::Answer::NoRecord,
            RevokeReply::WillNotRun => revoked::Answer::WillNotRun,
            RevokeReply::Started => revoked::Answer::Started,
        };
        Self {
            answer: answer.into(),
        }
    }
}

impl From<&Revoked> for RevokeReply {
    fn from(message: &Revoked) -> Self {
        match message.answer() {
            revoked::Answer::NoRecord => Self::NoRecord,
            revoked::Answer::WillNotRun => Self::WillNotRun,
            revoked::Answer::Started => Self::Started,
        }
    }
}
