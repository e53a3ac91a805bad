//! Gossip between entries, over `nng`'s request-reply pattern.
//!
//! A change is pushed at once to a few other entries, which push it on. Changes that a push missed
//! are found by anti-entropy: each entry compares digests with a random other one at a fixed rate.
//! The cost of both per process does not depend on the number of entries.

use std::ffi::CString;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anng::Message as NngMessage;
use anng::protocols::reqrep0::{Rep0, Req0};
use anyhow::{Context, bail};
use berylhook_keyvalue::{Vm, VmState};
use berylhook_peer::proto::{
    Answer, Catalogue, Exchange, Question, StatusAnswer, answer, question,
};
use berylhook_peer::{
    KeyRing, compare_versions, digest, documents_for, open, reply_to_digest, seal,
};
use rand::seq::IndexedRandom;
use tokio::time::timeout;

use super::catalogue::OfferedDocument;
use super::control::Control;
use super::node::Node;
use super::quarantine::{apply_peer_update, on_digest_reply};
use super::shares;
use super::status::status;

/// Interval of digest comparisons.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of other entries to which a change is pushed.
const PUSH_FANOUT: usize = 4;

/// Time allowed for one request and its reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of requests served at a time.
const RESPONDERS: usize = 4;

const REQUEST_LABEL: &str = "berylhook question";
const REPLY_LABEL: &str = "berylhook answer";

/// Serves requests of other entries and of operators' commands.
pub(crate) async fn serve(control: Rc<Control>) {
    let url = socket_url(control.node.settings.digest_listen);
    let socket = match Rep0::listen(&url).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!("cannot listen on {url:?} ({error}); check `digest_listen` under [entry]");
            return;
        }
    };
    let responders = (0..RESPONDERS).map(|_| {
        let control = Rc::clone(&control);
        let socket = Arc::clone(&socket);
        tokio::task::spawn_local(async move {
            let mut context = socket.context();
            loop {
                let (request, responder) = match context.receive().await {
                    Ok(received) => received,
                    Err(error) => {
                        log::warn!("cannot receive a request: {error}");
                        continue;
                    }
                };
                let reply = sealed_reply(&control, request.as_slice());
                let mut message = NngMessage::with_capacity(reply.len());
                let written = std::io::Write::write_all(&mut message, &reply);
                if written.is_ok() {
                    let _ = responder.reply(message).await;
                }
            }
        })
    });
    for responder in responders.collect::<Vec<_>>() {
        let _ = responder.await;
    }
}

/// Makes the sealed reply to a request. It is empty if the request cannot be opened, so that a
/// requester with a wrong key learns nothing.
fn sealed_reply(control: &Control, request: &[u8]) -> Vec<u8> {
    let keys = &control.node.keys;
    match open::<Question>(keys, REQUEST_LABEL, request) {
        Ok(opened) => {
            let reply = reply_to(control, &opened.message);
            seal(keys.current(), REPLY_LABEL, &opened.nonce, &reply)
        }
        Err(error) => {
            log::warn!("request from another process refused: {error}");
            Vec::new()
        }
    }
}

fn reply_to(control: &Control, request: &Question) -> Answer {
    let kind = match &request.kind {
        Some(question::Kind::Digest(digest)) => {
            let store = control.store.borrow();
            answer::Kind::Digest(reply_to_digest(&store.documents, digest))
        }
        Some(question::Kind::Exchange(exchange)) => {
            apply_documents(control, &exchange.documents);
            let store = control.store.borrow();
            answer::Kind::Documents(documents_for(&store.documents, &exchange.want))
        }
        Some(question::Kind::Status(_)) => {
            let json = status(&control.node, &control.fleet).to_string();
            answer::Kind::Status(StatusAnswer { json })
        }
        Some(question::Kind::Burn(_)) => {
            answer::Kind::Burn(control.node.burn.reply(control.node.now_ms()))
        }
        Some(question::Kind::Share(share)) => {
            answer::Kind::Share(shares::reply_to(control, &request.asker, share))
        }
        Some(question::Kind::Suspicions(update)) => {
            answer::Kind::Suspicions(apply_peer_update(&control.replicator, update))
        }
        None => answer::Kind::Documents(Catalogue::default()),
    };
    Answer {
        answerer: control.node.settings.node.name.to_string(),
        kind: Some(kind),
        suspicions_summary: control.node.suspects.summary_for_peers(),
    }
}

fn apply_documents(control: &Control, documents: &[berylhook_peer::proto::Document]) {
    let documents: Vec<_> = documents
        .iter()
        .filter_map(OfferedDocument::from_message)
        .collect();
    control.apply_documents(&documents);
}

/// Compares digests with a random other entry, in an endless loop.
pub(crate) async fn gossip(control: Rc<Control>) {
    loop {
        let others = other_entries(&control.node);
        let chosen = others.choose(&mut rand::rng());
        if let Some(vm) = chosen
            && let Err(error) = reconcile(&control, vm).await
        {
            log::debug!("cannot compare digests with {}: {error:#}", vm.name);
        }
        // Nothing can be served without a catalogue, so until then digests are compared more often.
        let wait = if control.node.is_ready() {
            GOSSIP_INTERVAL
        } else {
            GOSSIP_INTERVAL / 10
        };
        tokio::time::sleep(wait).await;
    }
}

async fn reconcile(control: &Rc<Control>, vm: &Vm) -> anyhow::Result<()> {
    let own_digest = digest(&control.store.borrow().documents);
    let reply = send_request(
        &control.node,
        vm.address,
        question::Kind::Digest(own_digest),
    )
    .await?;
    on_digest_reply(&control.node, vm.address, &reply);
    let Some(answer::Kind::Digest(reply)) = reply.kind else {
        bail!("the reply is of another kind; check that both processes run matching versions");
    };
    let comparison = compare_versions(&control.store.borrow().documents, &reply);
    if !comparison.is_empty() {
        let exchange = Exchange {
            documents: comparison.offer.documents,
            want: comparison.want.versions,
        };
        let reply = send_request(
            &control.node,
            vm.address,
            question::Kind::Exchange(exchange),
        )
        .await?;
        if let Some(answer::Kind::Documents(catalogue)) = reply.kind {
            apply_documents(control, &catalogue.documents);
        }
    }
    control.on_complete_catalogue(&vm.name);
    Ok(())
}

/// Pushes newer documents to a few other entries, without waiting for them.
pub(crate) fn push(node: &Arc<Node>, newer: &[OfferedDocument]) {
    let others = other_entries(node);
    let documents: Vec<_> = newer
        .iter()
        .map(|document| berylhook_peer::proto::Document {
            kind: document.id.kind.as_str().to_owned(),
            name: document.id.name.to_string(),
            version: document.version,
            body: document.body.to_string(),
        })
        .collect();
    for vm in others.sample(&mut rand::rng(), PUSH_FANOUT) {
        let exchange = Exchange {
            documents: documents.clone(),
            want: Vec::new(),
        };
        let node = Arc::clone(node);
        let address = vm.address;
        tokio::task::spawn_local(async move {
            // The next digest comparison finds what a failed push missed.
            let _ = send_request(&node, address, question::Kind::Exchange(exchange)).await;
        });
    }
}

pub(crate) fn other_entries(node: &Node) -> Vec<Vm> {
    let snapshot = node.snapshot.load();
    snapshot
        .vms
        .iter()
        .filter(|vm| vm.service.is_empty() && vm.state == VmState::Live)
        .filter(|vm| vm.name != node.settings.node.name)
        .cloned()
        .collect()
}

/// Sends one request to a process and returns its reply.
pub(crate) async fn send_request(
    node: &Node,
    address: SocketAddr,
    kind: question::Kind,
) -> anyhow::Result<Answer> {
    send_request_as(&node.keys, &node.settings.node.name, address, kind).await
}

/// Sends one request on behalf of `requester`.
pub(crate) async fn send_request_as(
    keys: &KeyRing,
    requester: &str,
    address: SocketAddr,
    kind: question::Kind,
) -> anyhow::Result<Answer> {
    let request = Question {
        asker: requester.to_owned(),
        kind: Some(kind),
    };
    let nonce: [u8; 16] = rand::random();
    let sealed_request = seal(keys.current(), REQUEST_LABEL, &nonce, &request);
    let round_trip = async {
        let socket = Req0::dial(&socket_url(address)).await?;
        let mut context = socket.context();
        let mut message = NngMessage::with_capacity(sealed_request.len());
        std::io::Write::write_all(&mut message, &sealed_request)?;
        let reply = context
            .request(message)
            .await
            .map_err(|(error, _)| anyhow::anyhow!("{error}"))?
            .await?;
        anyhow::Ok(reply.as_slice().to_vec())
    };
    let reply = timeout(REQUEST_TIMEOUT, round_trip)
        .await
        .with_context(|| format!("{address} did not reply within {REQUEST_TIMEOUT:?}"))??;
    if reply.is_empty() {
        bail!("{address} refused the request; check `key` under [trust] on both sides");
    }
    let opened = open::<Answer>(keys, REPLY_LABEL, &reply)?;
    if opened.nonce != nonce {
        bail!("{address} replied to another request; the reply is dropped");
    }
    Ok(opened.message)
}

fn socket_url(address: SocketAddr) -> CString {
    CString::new(format!("tcp://{address}")).expect("socket addresses contain no NUL byte")
}
