//! A catalogue change that is accepted comes into force in every process and is never reverted;
//! nothing else comes into force.

use berylhook_operator::IniFile;
use berylhook_test_support::calls::Caller;
use berylhook_test_support::cluster::{
    Cluster, DESK_KEY, EntryProcess, catalogue, store_section, until, until_ready, until_serving,
};
use berylhook_test_support::command::{self, CommandOutput, TemporaryFile, berylhook};
use berylhook_test_support::{Daemon, Engine, EngineConfig, Outage, Signal};
use serde_json::Value;

fn apply(cluster: &Cluster, file: &TemporaryFile, extra_arguments: &[&str]) -> CommandOutput {
    let url = cluster.key_value.url();
    let mut arguments = vec!["catalogue", "apply", "--key-value", &url, file.path()];
    arguments.extend_from_slice(extra_arguments);
    berylhook(&arguments)
}

fn get(cluster: &Cluster) -> String {
    let url = cluster.key_value.url();
    let output = berylhook(&["catalogue", "get", "--key-value", &url]);
    assert_eq!(output.code, 0, "{}", output.stderr);
    output.stdout
}

fn statuses(entry: &EntryProcess) -> Vec<Value> {
    command::statuses(&entry.settings)
}

/// Whether all `count` entries have the same catalogue in force, and not the one with `old_digest`.
fn is_changed_everywhere(entry: &EntryProcess, count: usize, old_digest: &Value) -> bool {
    let statuses = statuses(entry);
    let same = |status: &Value| status["catalogue_digest"] == statuses[0]["catalogue_digest"];
    statuses.len() == count
        && statuses.iter().all(same)
        && statuses[0]["catalogue_digest"] != *old_digest
}

/// Guards against processes that keep an old catalogue because their watches stay open but deliver
/// no more events. A watch can stop without an error, so processes that read the store also compare
/// revisions, and the other entries compare digests with their peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_entry_although_watches_deliver_nothing() {
    let cluster = Cluster::start().await;
    let entries =
        ["entry-1", "entry-2", "entry-3", "entry-4"].map(|name| cluster.start_entry(name));
    for entry in &entries {
        until_ready(entry).await;
    }
    until("all entries know each other", || async {
        statuses(&entries[0]).len() == 4
    })
    .await;
    let old_digest = statuses(&entries[0])[0]["catalogue_digest"].clone();

    cluster.key_value.mute_watches(true);
    let changed_file = get(&cluster).replace("class = interactive", "class = batch");
    let output = apply(
        &cluster,
        &TemporaryFile::new(&changed_file),
        &["--based-on", "0"],
    );

    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
    until("the change is in force everywhere", || async {
        is_changed_everywhere(&entries[0], 4, &old_digest)
    })
    .await;
}

/// Guards against an invalid value that takes a service down: it is written without the operator
/// commands, under a higher version, and then a process starts that has only the store to read
/// from. If only the newest value were stored, the invalid one would hide the last accepted one
/// from processes that start later.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_newer_value_does_not_hide_the_valid_one_from_a_new_process() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let key = "berylhook/catalogue/entry/briefing-llm/0000000002";

    cluster
        .key_value
        .put_raw(key, b"{\"settings\": {\"class\": \"urgent\"}}");
    let entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;
    let url = cluster.key_value.url();
    let history = berylhook(&[
        "catalogue",
        "history",
        "--key-value",
        &url,
        "entry briefing-llm",
    ]);

    assert!(
        entry
            .daemon
            .output()
            .contains("is not valid and stays out of force")
    );
    assert!(
        history.stdout.contains("not valid, never in force"),
        "{}",
        history.stdout
    );
    assert!(get(&cluster).contains("class = interactive"));
}

/// Guards against an entry that serves an old catalogue, or none, after it is replaced without its
/// disk during an outage of the key-value service. Before it accepts requests it must get the
/// newest versions from its peers, and from enough of them.
#[tokio::test(flavor = "multi_thread")]
async fn a_diskless_restart_in_an_outage_reverts_nothing() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let mut entries = ["entry-1", "entry-2", "entry-3"].map(|name| cluster.start_entry(name));
    for entry in &entries {
        until_serving(entry, "briefing-llm").await;
    }
    let old_digest = statuses(&entries[0])[0]["catalogue_digest"].clone();
    let changed_file = get(&cluster).replace("class = interactive", "class = batch");
    let output = apply(
        &cluster,
        &TemporaryFile::new(&changed_file),
        &["--based-on", "0"],
    );
    assert_eq!(output.code, 0, "{}", output.stderr);
    until("the change is in force everywhere", || async {
        is_changed_everywhere(&entries[0], 3, &old_digest)
    })
    .await;
    let new = statuses(&entries[0])[0]["catalogue_digest"].clone();

    cluster.key_value.set_outage(Outage::Refusing);
    entries[1].daemon.signal(Signal::Kill);
    entries[1].restart();
    until_serving(&entries[1], "briefing-llm").await;

    let statuses = statuses(&entries[0]);
    assert_eq!(statuses.len(), 3);
    assert!(
        statuses
            .iter()
            .all(|status| status["catalogue_digest"] == new)
    );
}

/// Guards against a data centre that serves nothing for the rest of an outage of the key-value
/// service because all its entries restarted at once: then only the agents still have the
/// catalogue.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_all_restart_in_an_outage_get_the_catalogue_from_agents() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "briefing-llm", engine.server.address);
    let mut entry = cluster.start_entry("entry-1");
    until_serving(&entry, "briefing-llm").await;

    cluster.key_value.set_outage(Outage::Silent);
    entry.daemon.signal(Signal::Kill);
    entry.restart();

    until_serving(&entry, "briefing-llm").await;
}

/// Guards against a process that accepts requests and refuses them all as unknown models, because
/// it started while it could reach neither the service nor a peer. An unknown catalogue must be
/// distinct from an empty one.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_reaches_neither_service_nor_peers_is_not_ready() {
    let cluster = Cluster::start().await;
    cluster.key_value.set_outage(Outage::Refusing);
    let entry = cluster.start_entry("entry-1");
    let caller = Caller::new(DESK_KEY);
    until("the entry is alive", || async {
        caller.get(entry.address, "/healthz").await.status == 200
    })
    .await;

    let ready = caller.get(entry.address, "/readyz").await;
    let response = caller
        .complete(entry.address, "briefing-llm", "x", 1, false)
        .await;

    assert_eq!(ready.status, 503);
    assert_eq!(response.outcome, "not-run");
    assert_eq!(response.json()["error"]["code"], "not_ready");
    cluster.key_value.set_outage(Outage::None);
    until_ready(&entry).await;
}

/// Guards against a change that silently undoes another: two operators read the same revision and
/// both apply a file. An apply that did not name its base revision would overwrite changes that the
/// operator has not seen.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_applies_one_is_refused_with_a_diff() {
    let cluster = Cluster::start().await;
    let base = get(&cluster);
    let first = TemporaryFile::new(&base.replace("class = interactive", "class = batch"));
    let second = TemporaryFile::new(&base.replace("class = critical", "class = interactive"));

    let (applied, conflicting) = std::thread::scope(|scope| {
        let first = scope.spawn(|| apply(&cluster, &first, &["--based-on", "0"]));
        let second = scope.spawn(|| apply(&cluster, &second, &["--based-on", "0"]));
        let mut outputs = [
            first.join().expect("the command runs"),
            second.join().expect("the command runs"),
        ];
        outputs.sort_by_key(|output| output.code);
        let [applied, conflicting] = outputs;
        (applied, conflicting)
    });

    assert_eq!(applied.code, 0, "{}", applied.stderr);
    assert_eq!(conflicting.code, 2, "{}", conflicting.stderr);
    assert!(
        conflicting
            .stderr
            .contains("not applied: the file is based on revision 0")
    );
    assert!(
        conflicting.stdout.contains("+++ the file"),
        "{}",
        conflicting.stdout
    );
    let in_force = get(&cluster);
    let both = in_force.contains("class = batch") && !in_force.contains("class = critical");
    assert!(!both, "{in_force}");
}

/// Guards against a change that is applied twice because its write takes effect, the response is
/// lost, and the operator sees a failure. The command cannot know the outcome, so it looks for the
/// id of the change in the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_response_was_lost_is_found_in_the_store() {
    let cluster = Cluster::start().await;
    let changed_file = get(&cluster).replace("class = interactive", "class = batch");

    cluster.key_value.lose_responses(1);
    let output = apply(
        &cluster,
        &TemporaryFile::new(&changed_file),
        &["--based-on", "0"],
    );

    assert_eq!(output.code, 0, "{}", output.stderr);
    assert!(
        output.stderr.contains("the answer to the write was lost"),
        "{}",
        output.stderr
    );
    let versions = cluster
        .key_value
        .keys("berylhook/catalogue/entry/briefing-llm/");
    assert_eq!(versions.len(), 2, "{versions:?}");
}

/// Guards against a mistyped file that removes a client account. A missing section may be a
/// mistake, so removal needs an explicit flag.
#[tokio::test(flavor = "multi_thread")]
async fn a_file_that_lacks_an_item_removes_it_only_with_the_remove_flag() {
    let cluster = Cluster::start().await;
    let base = get(&cluster);
    let without = base
        .split("\n[")
        .filter(|section| !section.starts_with("account kingston-claims"))
        .collect::<Vec<_>>()
        .join("\n[");
    let file = TemporaryFile::new(&without);

    let refused = apply(&cluster, &file, &["--based-on", "0"]);
    let removed = apply(&cluster, &file, &["--based-on", "0", "--remove"]);

    assert_eq!(refused.code, 1);
    assert!(
        refused.stderr.contains("say --remove to remove it"),
        "{}",
        refused.stderr
    );
    assert_eq!(removed.code, 0, "{}", removed.stderr);
    assert!(!get(&cluster).contains("kingston-claims"));
}

/// Guards against a model that stays unknown until an entry restarts: when a later version adds a
/// section, running processes, including agents, must receive it.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_catalogue_entry_is_served_without_a_restart() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "drafter", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_ready(&entry).await;

    let new_catalogue = catalogue()
        .replace("entry briefing-llm", "entry drafter")
        .replace("entries = briefing-llm", "entries = drafter, briefing-llm");
    for section in &IniFile::parse(&new_catalogue)
        .expect("the catalogue is INI")
        .sections
    {
        store_section(&cluster.key_value, section, 2);
    }

    until_serving(&entry, "drafter").await;
}

#[test]
fn check_reports_the_line_the_setting_and_a_suggestion() {
    let file = TemporaryFile::new("[entry]\nname = e\ndata_center = cairo-a\n");

    let output = berylhook(&["check", file.path()]);

    assert_eq!(output.code, 1);
    let expected = "line 3: unknown setting `data_center` in [entry]; did you mean `data_centre`?";
    assert!(output.stderr.contains(expected), "{}", output.stderr);
}

#[test]
fn serve_refuses_invalid_settings() {
    let mut daemon =
        Daemon::start("berylhook", &["serve"], "[entry]\n").expect("the process starts");

    let code = daemon.wait().expect("the process exits by itself");

    assert_eq!(code, 1);
    let expected = "line 1: [entry] lacks `name`; add a line `name = ...`";
    assert!(daemon.output().contains(expected), "{}", daemon.output());
}
