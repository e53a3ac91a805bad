//! The exchange between entries, over `nng`'s request pattern.
//!
//! A change is pushed to a few others at once, which push it on; whatever a
//! push missed is found by comparing digests with a random other entry at a
//! fixed rate. Both cost the same per process however many there are.

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
use super::quarantine::{answer_news, on_answer};
use super::shares;
use super::status::status;

/// Time between two digests sent.
const GOSSIP_EVERY: Duration = Duration::from_millis(500);

/// Other entries a change is pushed to at once.
const PUSH_FANOUT: usize = 4;

/// Time for one question.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Questions answered at a time.
const ANSWERERS: usize = 4;

const QUESTION_LABEL: &str = "berylhook question";
const ANSWER_LABEL: &str = "berylhook answer";

/// Answers other entries and operators' commands.
pub(crate) async fn serve(control: Rc<Control>) {
    let url = url_of(control.node.settings.digest_listen);
    let socket = match Rep0::listen(&url).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!("cannot listen on {url:?} ({error}); check `digest_listen` under [entry]");
            return;
        }
    };
    let answerers = (0..ANSWERERS).map(|_| {
        let control = Rc::clone(&control);
        let socket = Arc::clone(&socket);
        tokio::task::spawn_local(async move {
            let mut context = socket.context();
            loop {
                let (request, responder) = match context.receive().await {
                    Ok(received) => received,
                    Err(error) => {
                        log::warn!("a question could not be received: {error}");
                        continue;
                    }
                };
                let reply = answer_bytes(&control, request.as_slice());
                let mut message = NngMessage::with_capacity(reply.len());
                let written = std::io::Write::write_all(&mut message, &reply);
                if written.is_ok() {
                    let _ = responder.reply(message).await;
                }
            }
        })
    });
    for answerer in answerers.collect::<Vec<_>>() {
        let _ = answerer.await;
    }
}

/// An empty answer tells an asker with a wrong key nothing.
fn answer_bytes(control: &Control, request: &[u8]) -> Vec<u8> {
    let keys = &control.node.keys;
    match open::<Question>(keys, QUESTION_LABEL, request) {
        Ok(opened) => {
            let reply = answer_question(control, &opened.message);
            seal(keys.current(), ANSWER_LABEL, &opened.nonce, &reply)
        }
        Err(error) => {
            log::warn!("a question was refused: {error}");
            Vec::new()
        }
    }
}

fn answer_question(control: &Control, question: &Question) -> Answer {
    let kind = match &question.kind {
        Some(question::Kind::Digest(digest)) => {
            let store = control.store.borrow();
            answer::Kind::Digest(reply_to_digest(&store.documents, digest))
        }
        Some(question::Kind::Exchange(exchange)) => {
            take_up(control, &exchange.documents);
            let store = control.store.borrow();
            answer::Kind::Documents(documents_for(&store.documents, &exchange.want))
        }
        Some(question::Kind::Status(_)) => {
            let json = status(&control.node, &control.fleet).to_string();
            answer::Kind::Status(StatusAnswer { json })
        }
        Some(question::Kind::Burn(_)) => {
            answer::Kind::Burn(control.node.burn.answer(control.node.now_ms()))
        }
        Some(question::Kind::Share(share)) => {
            answer::Kind::Share(shares::answer(control, &question.asker, share))
        }
        Some(question::Kind::Suspicions(told)) => {
            answer::Kind::Suspicions(answer_news(&control.keeper, told))
        }
        None => answer::Kind::Documents(Catalogue::default()),
    };
    Answer {
        answerer: control.node.settings.node.name.to_string(),
        kind: Some(kind),
        suspicions_summary: control.node.suspects.summary_for_peers(),
    }
}

fn take_up(control: &Control, documents: &[berylhook_peer::proto::Document]) {
    let documents: Vec<_> = documents
        .iter()
        .filter_map(OfferedDocument::from_message)
        .collect();
    control.take_up(&documents);
}

/// Compares digests with a random other entry, for ever.
pub(crate) async fn gossip(control: Rc<Control>) {
    loop {
        let others = other_entries(&control.node);
        let chosen = others.choose(&mut rand::rng());
        if let Some(vm) = chosen
            && let Err(error) = reconcile(&control, vm).await
        {
            log::debug!("no exchange with {}: {error:#}", vm.name);
        }
        // Until there is a catalogue, nothing can be served, so the first
        // exchanges follow one another quickly.
        let wait = if control.node.is_ready() {
            GOSSIP_EVERY
        } else {
            GOSSIP_EVERY / 10
        };
        tokio::time::sleep(wait).await;
    }
}

async fn reconcile(control: &Rc<Control>, vm: &Vm) -> anyhow::Result<()> {
    let own = digest(&control.store.borrow().documents);
    let told = ask(&control.node, vm.address, question::Kind::Digest(own)).await?;
    on_answer(&control.node, vm.address, &told);
    let Some(answer::Kind::Digest(told)) = told.kind else {
        bail!("the answer is of another kind; check that both run matching versions");
    };
    let comparison = compare_versions(&control.store.borrow().documents, &told);
    if !comparison.is_empty() {
        let exchange = Exchange {
            documents: comparison.offer.documents,
            want: comparison.want.versions,
        };
        let told = ask(
            &control.node,
            vm.address,
            question::Kind::Exchange(exchange),
        )
        .await?;
        if let Some(answer::Kind::Documents(catalogue)) = told.kind {
            take_up(control, &catalogue.documents);
        }
    }
    control.heard_from(&vm.name);
    Ok(())
}

/// Sends fresh documents to a few other entries, without waiting.
pub(crate) fn push(node: &Arc<Node>, fresh: &[OfferedDocument]) {
    let others = other_entries(node);
    let documents: Vec<_> = fresh
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
            // A push that fails is made good by the next digests.
            let _ = ask(&node, address, question::Kind::Exchange(exchange)).await;
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

/// Asks one process one question.
pub(crate) async fn ask(
    node: &Node,
    address: SocketAddr,
    kind: question::Kind,
) -> anyhow::Result<Answer> {
    ask_as(&node.keys, &node.settings.node.name, address, kind).await
}

/// Asks on behalf of `asker`.
pub(crate) async fn ask_as(
    keys: &KeyRing,
    asker: &str,
    address: SocketAddr,
    kind: question::Kind,
) -> anyhow::Result<Answer> {
    let question = Question {
        asker: asker.to_owned(),
        kind: Some(kind),
    };
    let nonce: [u8; 16] = rand::random();
    let request = seal(keys.current(), QUESTION_LABEL, &nonce, &question);
    let exchange = async {
        let socket = Req0::dial(&url_of(address)).await?;
        let mut context = socket.context();
        let mut message = NngMessage::with_capacity(request.len());
        std::io::Write::write_all(&mut message, &request)?;
        let reply = context
            .request(message)
            .await
            .map_err(|(error, _)| anyhow::anyhow!("{error}"))?
            .await?;
        anyhow::Ok(reply.as_slice().to_vec())
    };
    let reply = timeout(ASK_TIMEOUT, exchange)
        .await
        .with_context(|| format!("{address} did not answer in {ASK_TIMEOUT:?}"))??;
    if reply.is_empty() {
        bail!("{address} refused the question; check `key` under [trust] on both sides");
    }
    let opened = open::<Answer>(keys, ANSWER_LABEL, &reply)?;
    if opened.nonce != nonce {
        bail!("{address} answered another question; the answer is dropped");
    }
    Ok(opened.message)
}

fn url_of(address: SocketAddr) -> CString {
    CString::new(format!("tcp://{address}")).expect("addresses hold no zero byte")
}
