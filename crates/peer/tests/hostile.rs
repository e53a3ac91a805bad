//! Bytes from a stranger: nothing panics, nothing is taken for genuine.

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
    Key::parse(text).expect("a key")
}

fn ring(text: &str) -> KeyRing {
    KeyRing::new(key(text), None)
}

proptest! {
    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = Batch::decode(bytes.as_slice());
        let _ = Frame::decode(bytes.as_slice());
        let _ = Question::decode(bytes.as_slice());
        let _ = open::<Question>(&ring(KEY), "question", &bytes);
        let _ = Key::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn an_altered_envelope_is_refused(at in 0usize..500, by in 1u8..=255) {
        let question = Question { asker: "entry-1".to_owned(), kind: None };
        let mut sealed = seal(&key(KEY), "question", b"nonce", &question);
        let at = at % sealed.len();
        sealed[at] ^= by;
        prop_assert!(open::<Question>(&ring(KEY), "question", &sealed).is_err());
    }
}

#[test]
fn an_envelope_for_another_purpose_is_refused() {
    let question = Question::default();
    let sealed = seal(&key(KEY), "question", b"nonce", &question);

    let opened = open::<Question>(&ring(KEY), "answer", &sealed);

    assert!(matches!(opened, Err(PeerError::BadTag)));
}

/// Symptom: an order is carried out twice.
/// Sequence: somebody between two processes records a record and plays it
/// again.
/// Cause: a tag over the bytes alone would be as good the second time.
#[test]
fn a_replayed_record_is_refused() {
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

async fn pair(dialler: KeyRing, listener: KeyRing) -> (bool, bool) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("bound");
    let accepted = tokio::spawn(async move {
        let (stream, _) = socket.accept().await.expect("a connection");
        berylhook_peer::accept(stream, &listener, "agent", Incarnation(2))
            .await
            .is_ok()
    });
    let stream = TcpStream::connect(address).await.expect("connects");
    let connected = berylhook_peer::connect(stream, &dialler, "entry", Incarnation(1))
        .await
        .is_ok();
    (connected, accepted.await.expect("runs"))
}

#[tokio::test]
async fn processes_with_different_keys_do_not_talk() {
    assert_eq!(pair(ring(KEY), ring(OTHER_KEY)).await, (false, false));
}

/// Symptom: a key rotation cuts processes off from each other.
/// Sequence: one side has swapped its keys, the other has not.
/// Cause: both keys are accepted while the rotation lasts.
#[tokio::test]
async fn during_a_rotation_both_keys_are_accepted() {
    let swapped = KeyRing::new(key(OTHER_KEY), Some(key(KEY)));
    let not_yet = KeyRing::new(key(KEY), Some(key(OTHER_KEY)));

    assert_eq!(pair(swapped.clone(), not_yet.clone()).await, (true, true));
    assert_eq!(pair(not_yet, swapped).await, (true, true));
}

/// Symptom: a stranger makes a process take up gigabytes.
/// Sequence: a record announces more bytes than are ever sent.
/// Cause: the bound is checked before any buffer grows.
#[tokio::test]
async fn an_announced_giant_is_refused_before_it_is_allocated() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("bound");
    let accepted = tokio::spawn(async move {
        let (stream, _) = socket.accept().await.expect("a connection");
        berylhook_peer::accept(stream, &ring(KEY), "agent", Incarnation(2)).await
    });
    let mut stream = TcpStream::connect(address).await.expect("connects");

    stream
        .write_all(&u32::MAX.to_le_bytes())
        .await
        .expect("written");
    let refused = accepted.await.expect("runs");

    assert!(matches!(refused, Err(PeerError::TooLarge { .. })));
}

#[tokio::test]
async fn frames_arrive_as_they_were_sent() {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = socket.local_addr().expect("bound");
    let accepted = tokio::spawn(async move {
        let (stream, _) = socket.accept().await.expect("a connection");
        let peer = berylhook_peer::accept(stream, &ring(KEY), "agent", Incarnation(2)).await;
        let (mut reader, _writer) = berylhook_peer::split(peer.expect("accepted"));
        let mut received = Vec::new();
        while received.len() < 3 {
            received.extend(reader.next().await.expect("frames"));
        }
        received
    });
    let stream = TcpStream::connect(address).await.expect("connects");
    let peer = berylhook_peer::connect(stream, &ring(KEY), "entry", Incarnation(1))
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

    assert_eq!(accepted.await.expect("runs"), sent);
    assert!(Digest::default().encoded_len() < MAX_RECORD_BYTES);
}
