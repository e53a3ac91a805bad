//! Malformed, altered and replayed input must not cause a panic and must not pass authentication.

use berylhook_core::ids::Incarnation;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Batch, Digest, Frame, Ping, Question};
use berylhook_peer::{Key, KeyRing, MAX_RECORD_BYTES, Opener, PeerError, Sealer, open, seal};
use proptest::prelude::*;
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const KEY: &str = "5f0c1d7a9e3b4c8d6f2a1b0c9d8e7f6a5b4c3d2e1f0a9b8c7d6e5f4a3b2c1d0e";
const OTHER_KEY: &str = "0000000000000000000000000000000000000000000000000000000000000001";

fn key(text: &str) -> Key {
    Key::parse(text).expect("a valid key")
}

fn key_ring(text: &str) -> KeyRing {
    KeyRing::new(key(text), None)
}

proptest! {
    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(
        bytes in proptest::collection::vec(any::<u8>(), 0..600),
    ) {
        let _ = Batch::decode(bytes.as_slice());
        let _ = Frame::decode(bytes.as_slice());
        let _ = Question::decode(bytes.as_slice());
        let _ = open::<Question>(&key_ring(KEY), "question", &bytes);
        let _ = Key::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn altered_envelope_is_rejected(index in 0usize..500, mask in 1u8..=255) {
        let question = Question { asker: "entry-1".to_owned(), kind: None };
        let mut sealed = seal(&key(KEY), "question", b"nonce", &question);
        let index = index % sealed.len();
        sealed[index] ^= mask;
        prop_assert!(open::<Question>(&key_ring(KEY), "question", &sealed).is_err());
    }
}

#[test]
fn envelope_for_another_purpose_is_rejected() {
    let question = Question::default();
    let sealed = seal(&key(KEY), "question", b"nonce", &question);

    let opened = open::<Question>(&key_ring(KEY), "answer", &sealed);

    assert!(matches!(opened, Err(PeerError::BadTag)));
}

/// Guards against a command that runs twice because an attacker between two processes replays a
/// record. A tag over the payload alone would be valid for the replayed record too.
#[test]
fn replayed_record_is_rejected() {
    let mut sealer = Sealer::new(key(KEY));
    let mut opener = Opener::new(key(KEY));
    let mut record = Vec::new();
    sealer.seal(b"order", &mut record);
    let tag: [u8; 16] = record[4..20].try_into().expect("sixteen bytes");

    let first = opener.open(&tag, &record[20..]);
    let replayed = opener.open(&tag, &record[20..]);

    assert!(first.is_ok());
    assert!(matches!(replayed, Err(PeerError::BadTag)));
}

async fn handshake_results(dialler: KeyRing, listener: KeyRing) -> (bool, bool) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    let listener_task = tokio::spawn(async move {
        let (stream, _) = socket.accept().await.expect("a connection");
        berylhook_peer::accept(stream, &listener, "agent", Incarnation(2))
            .await
            .is_ok()
    });
    let stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts");
    let connected = berylhook_peer::connect(stream, &dialler, "entry", Incarnation(1))
        .await
        .is_ok();
    (connected, listener_task.await.expect("the task completes"))
}

#[tokio::test]
async fn handshake_fails_with_different_keys() {
    assert_eq!(
        handshake_results(key_ring(KEY), key_ring(OTHER_KEY)).await,
        (false, false)
    );
}

/// Guards against a key rotation that disconnects processes: one process has already swapped its
/// keys and the other has not, so both must accept both keys.
#[tokio::test]
async fn both_keys_are_accepted_during_rotation() {
    let already_swapped = KeyRing::new(key(OTHER_KEY), Some(key(KEY)));
    let not_yet_swapped = KeyRing::new(key(KEY), Some(key(OTHER_KEY)));

    assert_eq!(
        handshake_results(already_swapped.clone(), not_yet_swapped.clone()).await,
        (true, true)
    );
    assert_eq!(
        handshake_results(not_yet_swapped, already_swapped).await,
        (true, true)
    );
}

/// Guards against memory exhaustion by an unauthenticated peer that announces a huge record: the
/// length must be checked before the buffer is allocated.
#[tokio::test]
async fn oversized_record_is_rejected_before_allocation() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    let listener_task = tokio::spawn(async move {
        let (stream, _) = socket.accept().await.expect("a connection");
        berylhook_peer::accept(stream, &key_ring(KEY), "agent", Incarnation(2)).await
    });
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts");

    stream
        .write_all(&u32::MAX.to_le_bytes())
        .await
        .expect("written");
    let result = listener_task.await.expect("the task completes");

    assert!(matches!(result, Err(PeerError::TooLarge { .. })));
}

#[tokio::test]
async fn frames_arrive_unchanged_and_in_order() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("a bound socket");
    let listener_task = tokio::spawn(async move {
        let (stream, _) = socket.accept().await.expect("a connection");
        let peer = berylhook_peer::accept(stream, &key_ring(KEY), "agent", Incarnation(2)).await;
        let (mut reader, _writer) = berylhook_peer::split(peer.expect("accepted"));
        let mut received = Vec::new();
        while received.len() < 3 {
            received.extend(reader.next().await.expect("frames"));
        }
        received
    });
    let stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts");
    let peer = berylhook_peer::connect(stream, &key_ring(KEY), "entry", Incarnation(1))
        .await
        .expect("connected");
    let (_reader, mut writer) = berylhook_peer::split(peer);
    let sent: Vec<Frame> = (1..=3)
        .map(|counter| Frame {
            origin: 1,
            counter,
            kind: Some(Kind::Ping(Ping { sent_ms: counter })),
        })
        .collect();

    writer.send(&mut sent[..1].to_vec()).await.expect("sent");
    writer.send(&mut sent[1..].to_vec()).await.expect("sent");

    assert_eq!(listener_task.await.expect("the task completes"), sent);
    assert!(Digest::default().encoded_len() < MAX_RECORD_BYTES);
}
