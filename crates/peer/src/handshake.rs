//! Mutual authentication of two processes by a shared key, before any frame is read.

use std::sync::Arc;
use std::time::Duration;

use berylhook_core::ids::Incarnation;
use prost::Message;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::PeerError;
use crate::keys::{Key, KeyRing};
use crate::proto::{Hello, Proof, Welcome};
use crate::seal::{Opener, Sealer};

const NONCE_BYTES: usize = 32;
const MAX_HANDSHAKE_BYTES: usize = 1024;
const HANDSHAKE_TIMEOUT_MS: u64 = 2_000;

/// A connection to a process that has proved possession of an accepted shared key.
pub struct PeerConnection {
    /// Name of the other process, from its settings.
    pub name: Arc<str>,
    /// Incarnation of the other process.
    pub incarnation: Incarnation,
    pub(crate) stream: TcpStream,
    pub(crate) sealer: Sealer,
    pub(crate) opener: Opener,
}

/// Performs the handshake on a connection that this process opened.
///
/// # Errors
///
/// If the peer does not reply in time, has no accepted key or uses another protocol.
pub async fn connect(
    stream: TcpStream,
    keys: &KeyRing,
    name: &str,
    incarnation: Incarnation,
) -> Result<PeerConnection, PeerError> {
    with_handshake_timeout(dialler_handshake(stream, keys, name, incarnation)).await
}

/// Performs the handshake on a connection that this process accepted.
///
/// # Errors
///
/// If the peer does not reply in time, has no accepted key or uses another protocol.
pub async fn accept(
    stream: TcpStream,
    keys: &KeyRing,
    name: &str,
    incarnation: Incarnation,
) -> Result<PeerConnection, PeerError> {
    with_handshake_timeout(listener_handshake(stream, keys, name, incarnation)).await
}

async fn with_handshake_timeout<T>(
    handshake: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    match timeout(Duration::from_millis(HANDSHAKE_TIMEOUT_MS), handshake).await {
        Ok(result) => result,
        Err(_) => Err(PeerError::HandshakeTimeout(HANDSHAKE_TIMEOUT_MS)),
    }
}

async fn dialler_handshake(
    mut stream: TcpStream,
    keys: &KeyRing,
    name: &str,
    incarnation: Incarnation,
) -> Result<PeerConnection, PeerError> {
    stream.set_nodelay(true)?;
    let key = keys.current();
    let hello = Hello {
        name: name.to_owned(),
        incarnation: incarnation.0,
        nonce: random_nonce(),
        key_id: key.id().to_vec().into(),
    };
    write_message(&mut stream, &hello).await?;
    let welcome: Welcome = read_message(&mut stream).await?;
    let transcript = Transcript::new(&hello, &welcome);
    verify_tag(&transcript.tag(key, "welcome"), &welcome.tag)?;
    let proof = Proof {
        tag: transcript.tag(key, "proof").to_vec().into(),
    };
    write_message(&mut stream, &proof).await?;
    Ok(PeerConnection {
        name: welcome.name.as_str().into(),
        incarnation: Incarnation(welcome.incarnation),
        stream,
        sealer: Sealer::new(transcript.session_key(key, "dialler to listener")),
        opener: Opener::new(transcript.session_key(key, "listener to dialler")),
    })
}

async fn listener_handshake(
    mut stream: TcpStream,
    keys: &KeyRing,
    name: &str,
    incarnation: Incarnation,
) -> Result<PeerConnection, PeerError> {
    stream.set_nodelay(true)?;
    let hello: Hello = read_message(&mut stream).await?;
    let key = keys.find(&hello.key_id).ok_or(PeerError::UnknownKey)?;
    let mut welcome = Welcome {
        name: name.to_owned(),
        incarnation: incarnation.0,
        nonce: random_nonce(),
        tag: bytes::Bytes::new(),
    };
    let transcript = Transcript::new(&hello, &welcome);
    welcome.tag = transcript.tag(key, "welcome").to_vec().into();
    write_message(&mut stream, &welcome).await?;
    let proof: Proof = read_message(&mut stream).await?;
    verify_tag(&transcript.tag(key, "proof"), &proof.tag)?;
    Ok(PeerConnection {
        name: hello.name.as_str().into(),
        incarnation: Incarnation(hello.incarnation),
        stream,
        sealer: Sealer::new(transcript.session_key(key, "listener to dialler")),
        opener: Opener::new(transcript.session_key(key, "dialler to listener")),
    })
}

/// The encoded `Hello` and `Welcome` messages without the tag. The handshake tags and the session
/// keys are computed from it.
struct Transcript(Vec<u8>);

impl Transcript {
    fn new(hello: &Hello, welcome: &Welcome) -> Self {
        let untagged = Welcome {
            tag: bytes::Bytes::new(),
            ..welcome.clone()
        };
        let mut bytes = hello.encode_length_delimited_to_vec();
        bytes.extend(untagged.encode_length_delimited_to_vec());
        Self(bytes)
    }

    fn tag(&self, key: &Key, label: &str) -> [u8; 32] {
        key.tag(label, &[&self.0])
    }

    fn session_key(&self, key: &Key, label: &str) -> Key {
        key.derive(label, &[&self.0])
    }
}

fn verify_tag(expected: &[u8; 32], received: &[u8]) -> Result<(), PeerError> {
    if bool::from(expected[..].ct_eq(received)) {
        Ok(())
    } else {
        Err(PeerError::BadTag)
    }
}

fn random_nonce() -> bytes::Bytes {
    let bytes: [u8; NONCE_BYTES] = rand::random();
    bytes.to_vec().into()
}

async fn write_message(stream: &mut TcpStream, message: &impl Message) -> Result<(), PeerError> {
    let payload = message.encode_to_vec();
    let length = u32::try_from(payload.len()).expect("handshake messages are small");
    let mut record = length.to_le_bytes().to_vec();
    record.extend(payload);
    stream.write_all(&record).await?;
    Ok(())
}

async fn read_message<M: Message + Default>(stream: &mut TcpStream) -> Result<M, PeerError> {
    let bytes = stream.read_u32_le().await? as usize;
    if bytes > MAX_HANDSHAKE_BYTES {
        return Err(PeerError::TooLarge {
            bytes,
            max: MAX_HANDSHAKE_BYTES,
        });
    }
    let mut payload = vec![0; bytes];
    stream.read_exact(&mut payload).await?;
    Ok(M::decode(payload.as_slice())?)
}
