//! An agent of another version, which forwards heads that this version's agents refuse.

mod common;

use std::net::SocketAddr;

use berylhook_core::ids::Incarnation;
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{Data, End, Frame, Head, Header, Load, Ping, Pong, Start};
use berylhook_peer::{Key, KeyRing};
use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{Cluster, DESK_KEY, TRUST_KEY, until_serving};
use tokio::net::{TcpListener, TcpStream};

/// The text before the status that a prompt asks for.
const MARKER: &str = "status/";

/// Starts an agent that forwards the status that a prompt names, or 200.
async fn start_agent() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("an address is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(stream: TcpStream) {
    let key = Key::parse(TRUST_KEY).expect("the key is valid");
    let keys = KeyRing::new(key, None);
    let connection = berylhook_peer::accept(stream, &keys, "agent", Incarnation(2)).await;
    let (mut reader, mut writer) = berylhook_peer::split(connection.expect("an entry"));
    while let Ok(frames) = reader.next().await {
        let mut replies: Vec<Frame> = frames.iter().flat_map(replies_to).collect();
        // The error is the entry's close.
        let _ = writer.send(&mut replies).await;
    }
}

fn replies_to(frame: &Frame) -> Vec<Frame> {
    let kinds = match &frame.kind {
        Some(Kind::Ping(ping)) => vec![Kind::Pong(pong(*ping))],
        Some(Kind::Start(start)) => response_to(start),
        _ => Vec::new(),
    };
    let reply = |kind| Frame {
        kind: Some(kind),
        ..frame.clone()
    };
    kinds.into_iter().map(reply).collect()
}

fn pong(ping: Ping) -> Pong {
    Pong {
        ping_sent_ms: ping.sent_ms,
        load: Some(Load {
            slots: 8,
            ..Load::default()
        }),
        ..Pong::default()
    }
}

fn response_to(start: &Start) -> Vec<Kind> {
    let body = String::from_utf8_lossy(&start.body).into_owned();
    let text = body.split_once(MARKER).map(|(_, text)| text);
    let digits = text.and_then(|text| text.split('"').next());
    let status = digits.and_then(|digits| digits.parse().ok()).unwrap_or(200);
    let content_type = Header {
        name: "content-type".to_owned(),
        value: "text/event-stream".into(),
    };
    vec![
        Kind::Head(Head {
            status,
            headers: vec![content_type],
            repeated_answer: false,
        }),
        Kind::Data(Data {
            seq: 0,
            bytes: "data: a\n\n".into(),
            events: 1,
        }),
        Kind::End(End {
            frames: 1,
            whole: true,
            ..End::default()
        }),
    ]
}

// Guards against a status that no final response has, and that reaches a caller because an agent of an
// earlier version has forwarded it.
#[tokio::test(flavor = "multi_thread")]
async fn an_agents_status_that_no_final_response_has_is_an_unknown_outcome() {
    let cluster = Cluster::start().await;
    let agent = start_agent().await;
    cluster
        .vms
        .add("target-1", agent, "cairo-a", "briefing-llm");
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let caller = Caller::new(DESK_KEY);

    for status in ["0", "101", "199", "600", "999", "65736", "4294967295"] {
        for is_stream in [false, true] {
            let prompt = format!("{MARKER}{status}");
            let response = caller
                .complete(entry.address, "briefing-llm", &prompt, 4, is_stream)
                .await;

            let seen = (response.status, response.outcome.as_str());
            assert_eq!(seen, (502, "unknown"), "{status} {response:?}");
        }
    }
}
