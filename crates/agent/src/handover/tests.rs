//! Tests of the stored form of handovers.

use std::sync::Arc;

use berylhook_core::ledger::{ExportedRecord, LedgerExport, RecordedResponse};
use berylhook_core::time::WallMs;

use super::{MAX_ENCODED_BYTES, MAX_EXPORTED_RECORDS, decode, encode};

fn export_with_bodies(count: usize, body_bytes: usize) -> LedgerExport {
    let records = (0..count).map(|number| ExportedRecord {
        key: u128::MAX - number as u128,
        issued_ms: WallMs(9_999_999_999_999),
        digest: u64::MAX,
        response: Some(Arc::new(RecordedResponse {
            status: 200,
            content_type: "application/json".to_owned(),
            body: Some(vec![b'x'; body_bytes]),
        })),
    });
    LedgerExport {
        low_water_ms: WallMs(9_999_999_999_999),
        records: records.collect(),
    }
}

fn bodies(export: &LedgerExport) -> Vec<bool> {
    let responses = export.records.iter().map(|record| &record.response);
    responses
        .map(|response| response.as_ref().is_some_and(|it| it.body.is_some()))
        .collect()
}

/// Guards against a handover that the store refuses because it is too large.
#[test]
fn the_largest_handover_fits_into_one_value() {
    let export = export_with_bodies(MAX_EXPORTED_RECORDS, 64);

    let encoded = encode(&export, u64::MAX);

    assert!(encoded.len() <= MAX_ENCODED_BYTES, "{}", encoded.len());
    let decoded = decode(&encoded, u64::MAX).expect("it was encoded");
    assert_eq!(decoded.records.len(), MAX_EXPORTED_RECORDS);
}

/// Guards against bodies of old responses that take the room of new ones.
#[test]
fn the_newest_bodies_are_kept() {
    let export = export_with_bodies(20, 64 << 10);

    let encoded = encode(&export, 0);

    assert!(encoded.len() <= MAX_ENCODED_BYTES, "{}", encoded.len());
    let bodies = bodies(&decode(&encoded, 0).expect("it was encoded"));
    let kept = bodies.iter().filter(|is_kept| **is_kept).count();
    assert_eq!(kept, 10, "{bodies:?}");
    assert!(bodies.ends_with(&[true; 10]), "{bodies:?}");
}

/// Guards against handovers of an earlier version that cannot be read.
#[test]
fn a_handover_without_bodies_is_read() {
    let stored = br#"{"floor_ms":5,"records":[
        {"key":"ff","issued_ms":7,"digest":1,"status":200},
        {"key":"fe","issued_ms":8,"digest":2,"status":null}]}"#;

    let export = decode(stored, 0).expect("it is valid");

    let first = export.records[0].response.as_ref().expect("it has ended");
    assert_eq!((first.status, &first.body), (200, &None));
    assert_eq!(export.records[1].response, None);
}
