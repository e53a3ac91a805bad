//! Connections from entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use berylhook_core::ids::{Incarnation, RequestId};
use berylhook_core::start_gate::RunCommand;
use berylhook_core::time::MonoMs;
use berylhook_ingress::{ConnectionGuard, ConnectionTable, Phase};
use berylhook_peer::proto::frame::Kind;
use berylhook_peer::proto::{
    Catalogue, Digest, DigestAnswer, Frame, GoAway, Load, Ping, Pong, Revoke, Revoked,
};
use berylhook_peer::{FrameReader, FrameWriter, PeerConnection, PeerError, frame, request_id};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::agent::{Agent, lock};
use crate::run;

/// Maximum number of frames that are written in one record.
const MAX_BATCH_FRAMES: usize = 256;

/// Most connections, with those whose handshake is not complete.
const MAX_CONNECTIONS: usize = 512;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a stopping agent waits for entries to close their connections after it has announced
/// that it goes away.
const GO_AWAY_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts connections until the agent has drained.
pub(crate) async fn serve(agent: Arc<Agent>) -> anyhow::Result<()> {
    let address = agent.settings.listen;
    let listener = TcpListener::bind(address).await.with_context(|| {
        format!("cannot listen on {address}; check `listen` under [agent], and that nothing else uses it")
    })?;
    let mut stopping = agent.stopping.subscribe();
    let table = ConnectionTable::new(MAX_CONNECTIONS);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match table.open(Instant::now()) {
                    Ok(place) => {
                        connections.spawn(handle_connection(Arc::clone(&agent), stream, place));
                        table.until_replaced().await;
                    }
                    Err(_) => log::warn!("a connection was rejected: {MAX_CONNECTIONS} entries are connected"),
                },
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    table.close_one(Instant::now());
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            // Revokes and pings are still answered while the agent drains, so the listener stays
            // open until the control thread signals that the drain is complete.
            _ = stopping.wait_for(|stopping| *stopping) => break,
        }
    }
    drop(listener);
    let all_closed = async { while connections.join_next().await.is_some() {} };
    if timeout(GO_AWAY_TIMEOUT, all_closed).await.is_err() {
        log::info!("{} connections are cut off", connections.len());
    }
    Ok(())
}

async fn handle_connection(agent: Arc<Agent>, stream: TcpStream, place: ConnectionGuard) {
    tokio::select! {
        () = authenticate_and_serve(agent, stream, &place) => {}
        () = place.until_closed() => {}
    }
}

async fn authenticate_and_serve(agent: Arc<Agent>, stream: TcpStream, place: &ConnectionGuard) {
    let name = Arc::clone(&agent.settings.node.name);
    match berylhook_peer::accept(stream, &agent.keys, &name, agent.incarnation).await {
        Ok(peer) => {
            // Only connections without a handshake are closed for new ones.
            place.set_phase(Phase::Request, Instant::now());
            serve_entry(agent, peer).await;
        }
        Err(error) => log::warn!("the handshake of a connection failed: {error}"),
    }
}

async fn serve_entry(agent: Arc<Agent>, peer: PeerConnection) {
    let entry = Arc::clone(&peer.name);
    log::info!("entry {entry} has connected");
    let (mut reader, writer) = berylhook_peer::split(peer);
    let (outgoing, queue) = mpsc::unbounded_channel();
    let write_task = tokio::spawn(write_loop(writer, queue));
    let error = tokio::select! {
        error = read_loop(&agent, &mut reader, &outgoing) => error,
        error = go_away_when_stopping(&agent, &outgoing) => error,
    };
    // Closes the queue of outgoing frames, by which the requests of this connection notice that it
    // has closed.
    write_task.abort();
    log::info!("entry {entry} has disconnected: {error}");
}

/// Announces the end of the connection once the agent has drained. Commands that are still on their
/// way then have provably not run, so the entry can send them to another agent.
async fn go_away_when_stopping(
    agent: &Agent,
    outgoing: &mpsc::UnboundedSender<Frame>,
) -> PeerError {
    // The sender is part of the agent, so waiting cannot fail.
    let _ = agent
        .stopping
        .subscribe()
        .wait_for(|stopping| *stopping)
        .await;
    // At the drain bound, requests are cut off that may have run.
    if agent.in_flight() == 0 {
        // The announcement is about no single request.
        let id = RequestId {
            origin: agent.incarnation,
            counter: 0,
        };
        let _ = outgoing.send(frame(id, Kind::GoAway(GoAway {})));
    }
    std::future::pending().await
}

async fn write_loop(mut writer: FrameWriter, mut queue: mpsc::UnboundedReceiver<Frame>) {
    let mut frames = Vec::new();
    while queue.recv_many(&mut frames, MAX_BATCH_FRAMES).await > 0 {
        if let Err(error) = writer.send(&mut frames).await {
            log::info!("writing to a connection failed: {error}");
            return;
        }
    }
}

async fn read_loop(
    agent: &Arc<Agent>,
    reader: &mut FrameReader,
    outgoing: &mpsc::UnboundedSender<Frame>,
) -> PeerError {
    loop {
        match reader.next().await {
            Ok(frames) => {
                for received in frames {
                    handle_frame(agent, received, outgoing);
                }
            }
            Err(error) => return error,
        }
    }
}

fn handle_frame(agent: &Arc<Agent>, received: Frame, outgoing: &mpsc::UnboundedSender<Frame>) {
    let id = request_id(&received);
    match received.kind {
        Some(Kind::Start(start)) => run::start(agent, id, start, outgoing),
        Some(Kind::Revoke(revoke)) => {
            let reply = on_revoke(agent, id, &revoke);
            let _ = outgoing.send(frame(id, Kind::Revoked(reply)));
        }
        Some(Kind::Cancel(_)) => {
            if let Some(running) = lock(&agent.running).get(&id) {
                running.cancel.notify_one();
            }
        }
        Some(Kind::Credit(credit)) => {
            if let Some(running) = lock(&agent.running).get(&id) {
                running.credit.add_permits(credit.bytes as usize);
            }
        }
        Some(Kind::Ping(ping)) => {
            let _ = outgoing.send(frame(id, Kind::Pong(on_ping(agent, ping))));
        }
        Some(Kind::Digest(digest)) => {
            let reply = on_digest(agent, &digest);
            let _ = outgoing.send(frame(id, Kind::DigestAnswer(reply)));
        }
        Some(Kind::Catalogue(catalogue)) => on_catalogue(agent, &catalogue),
        Some(Kind::Want(want)) => {
            let documents = berylhook_peer::documents_for(&lock(&agent.documents), &want.versions);
            let _ = outgoing.send(frame(id, Kind::Catalogue(documents)));
        }
        _ => log::warn!("an entry sent a frame that only agents send; it is ignored"),
    }
}

fn on_revoke(agent: &Agent, id: RequestId, revoke: &Revoke) -> Revoked {
    let command = RunCommand {
        id,
        for_incarnation: Incarnation(revoke.for_incarnation),
        start_by_ms: MonoMs(revoke.start_by_ms),
    };
    let reply = lock(&agent.start_gate).revoke(command, agent.now_ms());
    log::info!("request {id} revoked: {reply:?}");
    reply.into()
}

fn on_ping(agent: &Agent, ping: Ping) -> Pong {
    let now_ms = agent.now_ms();
    let sample = **agent.load.load();
    Pong {
        ping_sent_ms: ping.sent_ms,
        agent_now_ms: now_ms.0,
        draining: agent.is_draining(),
        load: Some(Load {
            running: sample.report.running,
            waiting: sample.report.waiting,
            slots: sample.report.slots,
            age_ms: now_ms.since(sample.received_ms),
        }),
    }
}

/// Merges catalogue documents. The agent stores the whole catalogue, so that entries can recover
/// it from the agents if all entries restart during an outage of the key-value service.
fn on_catalogue(agent: &Agent, catalogue: &Catalogue) {
    let mut documents = lock(&agent.documents);
    for document in &catalogue.documents {
        match berylhook_peer::item_id(&document.kind, &document.name) {
            Ok(id) => {
                documents.offer(id, document.version, document.body.as_str().into());
            }
            Err(error) => log::warn!("a catalogue document was ignored: {error}"),
        }
    }
}

fn on_digest(agent: &Agent, digest: &Digest) -> DigestAnswer {
    berylhook_peer::reply_to_digest(&lock(&agent.documents), digest)
}
