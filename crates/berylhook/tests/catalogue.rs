//! An accepted change is in force everywhere and never reverts; everything
//! else never gets into force.

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

/// Whether all `count` entries have the same, and not `old`, in force.
fn is_changed_everywhere(entry: &EntryProcess, count: usize, old_digest: &Value) -> bool {
    let statuses = statuses(entry);
    let same = |status: &Value| status["catalogue_digest"] == statuses[0]["catalogue_digest"];
    statuses.len() == count
        && statuses.iter().all(same)
        && statuses[0]["catalogue_digest"] != *old_digest
}

/// Symptom: some processes serve by the old catalogue for ever.
/// Sequence: the watches stay open but tell nothing more; an operator's
/// change is accepted.
/// Cause: a watch can go silent without an error, so readers compare
/// revisions too, and entries that are no readers compare digests.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_every_entry_although_the_watches_are_silent() {
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

/// Symptom: a broken value takes a service down.
/// Sequence: a value is written past the tools with a higher version; then a
/// process is born that has only the service to ask.
/// Cause: if only the newest value were kept, the broken one would hide the
/// last accepted one from whoever starts later.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_newer_value_hides_nothing_from_a_process_born_later() {
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

/// Symptom: a restarted process serves by an old catalogue, or by none.
/// Sequence: a change is accepted; the key-value service goes down; an entry
/// is replaced and has no disk.
/// Cause: it must learn the newest versions from the others, and from enough
/// of them, before it takes requests.
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

/// Symptom: after a data centre's entries were all replaced in an outage,
/// nothing is served until the service is back.
/// Sequence: the service is down and every entry restarts at once.
/// Cause: then only the agents still know the catalogue.
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

/// Symptom: a process that knows nothing takes requests and refuses them all
/// as unknown models.
/// Sequence: it starts while it can reach neither the service nor any peer.
/// Cause: "nothing is in the catalogue" and "the catalogue is not known" must
/// not look alike.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_reaches_neither_service_nor_peers_is_not_ready() {
    let cluster = Cluster::start().await;
    cluster.key_value.set_outage(Outage::Refusing);
    let entry = cluster.start_entry("entry-1");
    let caller = Caller::new(DESK_KEY);
    until("it is alive", || async {
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

/// Symptom: one operator's change silently undoes another's.
/// Sequence: two operators read the same revision and both apply.
/// Cause: an apply that does not name what it is based on overwrites what it
/// has never seen.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_is_shown_the_difference() {
    let cluster = Cluster::start().await;
    let base = get(&cluster);
    let first = TemporaryFile::new(&base.replace("class = interactive", "class = batch"));
    let second = TemporaryFile::new(&base.replace("class = critical", "class = interactive"));

    let (applied, conflicting) = std::thread::scope(|scope| {
        let first = scope.spawn(|| apply(&cluster, &first, &["--based-on", "0"]));
        let second = scope.spawn(|| apply(&cluster, &second, &["--based-on", "0"]));
        let mut outputs = [first.join().expect("runs"), second.join().expect("runs")];
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

/// Symptom: an operator is told that a change failed, applies again, and the
/// change is there twice.
/// Sequence: the write takes effect and its answer is lost.
/// Cause: the writer cannot tell, so the change's id is looked for.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_was_lost_is_found_again() {
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

/// Symptom: a mistyped file removes a customer.
/// Sequence: a file that lacks an item is applied.
/// Cause: a missing section may be a mistake, so removing is asked for.
#[tokio::test(flavor = "multi_thread")]
async fn a_file_that_lacks_an_item_removes_it_only_when_told_to() {
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

/// Symptom: a model stays unknown until an entry is restarted.
/// Sequence: an entry runs; a section is added by a later version.
/// Cause: changes are told to running processes, agents included.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_is_served_without_a_restart() {
    let cluster = Cluster::start().await;
    let engine = Engine::start(EngineConfig::default()).await;
    let _agent = cluster.start_agent("target-1", "drafter", engine.server.address);
    let entry = cluster.start_entry("entry-1");
    until_ready(&entry).await;

    let new_catalogue = catalogue()
        .replace("entry briefing-llm", "entry drafter")
        .replace("entries = briefing-llm", "entries = drafter, briefing-llm");
    for section in &IniFile::parse(&new_catalogue).expect("it is INI").sections {
        store_section(&cluster.key_value, section, 2);
    }

    until_serving(&entry, "drafter").await;
}

#[test]
fn check_names_the_line_the_setting_and_the_remedy() {
    let file = TemporaryFile::new("[entry]\nname = e\ndata_center = cairo-a\n");

    let output = berylhook(&["check", file.path()]);

    assert_eq!(output.code, 1);
    let expected = "line 3: unknown setting `data_center` in [entry]; did you mean `data_centre`?";
    assert!(output.stderr.contains(expected), "{}", output.stderr);
}

#[test]
fn serve_refuses_settings_that_do_not_check() {
    let mut daemon = Daemon::start("berylhook", &["serve"], "[entry]\n").expect("it starts");

    let code = daemon.wait().expect("it ends by itself");

    assert_eq!(code, 1);
    let expected = "line 1: [entry] lacks `name`; add a line `name = ...`";
    assert!(daemon.output().contains(expected), "{}", daemon.output());
}
