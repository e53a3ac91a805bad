//! Optional settings of an entry, and settings that are rejected.

use berylhook_entry::settings::EntrySettings;
use berylhook_operator::ProcessLimits;
use berylhook_traffic::cold::ColdBounds;
use berylhook_traffic::regions::RegionMap;
use berylhook_traffic::retry_budget::RetryBounds;

fn settings_with(node_line: &str) -> String {
    format!(
        "[node]\nname = entry-1\ndata_centre = here\n{node_line}\n\
         [listen]\ncallers = 10.0.0.1:1\nready = 10.0.0.1:2\npeers = 10.0.0.1:3\n\
         [store]\naddress = 10.0.0.9:1\n"
    )
}

#[test]
fn processor_share_defaults_to_one() {
    let default = EntrySettings::parse(&settings_with("")).expect("the settings are valid");
    let explicit = EntrySettings::parse(&settings_with("processor_share = 0.18"))
        .expect("the settings are valid");

    assert!((default.processor_share - 1.0).abs() < f64::EPSILON);
    assert!((explicit.processor_share - 0.18).abs() < f64::EPSILON);
}

#[test]
fn invalid_processor_share_is_rejected() {
    for share in ["0", "-1", "NaN", "much"] {
        let text = settings_with(&format!("processor_share = {share}"));

        let error = EntrySettings::parse(&text).expect_err("the share is not valid");

        let message = error.to_string();
        assert!(message.contains("processor_share"), "{message}");
        assert!(message.contains("such as 0.25"), "{message}");
    }
}

// Guards against an entry that does not start because its deployment has no evacuation, and against
// one that takes an empty value for an immediate bound.
#[test]
fn evacuation_is_optional() {
    let with = |section: &str| {
        let text = format!("{}{section}", settings_with(""));
        EntrySettings::parse(&text).map(|settings| settings.evacuate_ms)
    };

    assert_eq!(with(""), Ok(None));
    assert_eq!(with("[evacuation]\nevacuate_ms = \n"), Ok(None));
    assert_eq!(with("[evacuation]\nevacuate_ms = 5000\n"), Ok(Some(5_000)));
    assert!(with("[evacuation]\nevacuate_ms = soon\n").is_err());
}

// Guards against settings that are rejected where the platform has no value for them.
#[test]
fn cold_targets_are_bounded_only_with_an_overshoot() {
    let bounds = |section: &str| {
        let text = settings_with("") + section;
        EntrySettings::parse(&text).map(|settings| settings.cold_bounds)
    };

    assert_eq!(bounds(""), Ok(None));
    assert_eq!(bounds("[cold_targets]\novershoot = \nslack = \n"), Ok(None));
    let expected = ColdBounds {
        overshoot: 1.5,
        slack: 5.0,
    };
    let section = "[cold_targets]\novershoot = 1.5\nslack = 5\n";
    assert_eq!(bounds(section), Ok(Some(expected)));
    for invalid in [
        "overshoot = -1",
        "overshoot = inf",
        "overshoot = 2\nslack = -1",
    ] {
        assert!(
            bounds(&format!("[cold_targets]\n{invalid}\n")).is_err(),
            "{invalid}"
        );
    }
}

// Guards against bounds of retries that are not read, and against bad ones that are replaced by a
// default without a word.
#[test]
fn retries_are_bounded_as_the_deployment_names_it() {
    let bounds = |section: &str| {
        let text = settings_with("") + section;
        EntrySettings::parse(&text).map(|settings| settings.retry_bounds)
    };

    assert_eq!(bounds(""), Ok(RetryBounds::default()));
    let empty = "[retries]\nratio =\nwindow_s =\nslack =\n";
    assert_eq!(bounds(empty), Ok(RetryBounds::default()));
    let expected = RetryBounds {
        ratio: 0.1,
        window_ms: 8_000,
        slack: 264.0,
    };
    let section = "[retries]\nratio = 0.1\nwindow_s = 8\nslack = 264\n";
    assert_eq!(bounds(section), Ok(expected));
    for invalid in ["ratio = -1", "slack = many", "window_s = 0", "window = 8"] {
        assert!(
            bounds(&format!("[retries]\n{invalid}\n")).is_err(),
            "{invalid}"
        );
    }
}

// Guards against an entry that does not start because its deployment names no regions, and against
// data centres that are silently left without a region.
#[test]
fn regions_are_optional() {
    let with = |section: &str| {
        let text = format!("{}{section}", settings_with(""));
        EntrySettings::parse(&text).map(|settings| settings.regions)
    };
    let pairs = [("here", "north"), ("there", "south")];
    let map = |count| {
        let pairs = pairs.iter().take(count);
        RegionMap::new(pairs.map(|(zone, region)| ((*zone).into(), (*region).into())))
    };

    assert_eq!(with("").ok(), map(0));
    assert_eq!(with("[regions]\nown =\nzones =\n").ok(), map(0));
    assert_eq!(with("[regions]\nown = north\nzones =\n").ok(), map(1));
    let both = with("[regions]\nown = north\nzones = here:north, there:south\n");
    assert_eq!(both.ok(), map(2));
    for zones in ["here", "here:", ":north"] {
        let section = format!("[regions]\nzones = {zones}\n");
        assert!(with(&section).is_err(), "{zones}");
    }
}

// Guards against settings that are rejected where the platform states no limits, and against limits
// with which a process cannot serve a single request.
#[test]
fn limits_of_the_process_are_optional_and_checked() {
    let limits = |section: &str| {
        let text = settings_with("") + section;
        EntrySettings::parse(&text).map(|settings| settings.limits)
    };

    assert_eq!(limits(""), Ok(ProcessLimits::default()));
    assert_eq!(
        limits("[limits]\nmemory_mb = \ndescriptors = \n"),
        Ok(ProcessLimits::default())
    );
    let expected = ProcessLimits {
        memory_mb: 160,
        descriptors: 4_100,
    };
    let section = "[limits]\nmemory_mb = 160\ndescriptors = 4100\n";
    assert_eq!(limits(section), Ok(expected));
    for (invalid, remedy) in [
        ("memory_mb = 63", "at least 64"),
        ("memory_mb = much", "at least 64"),
        ("memory_mb = -1", "at least 64"),
        ("descriptors = 299", "at least 300"),
        ("memory = 160", "memory_mb"),
    ] {
        let error = limits(&format!("[limits]\n{invalid}\n")).expect_err(invalid);

        let message = error.to_string();
        assert!(message.contains(remedy), "{message}");
    }
}
