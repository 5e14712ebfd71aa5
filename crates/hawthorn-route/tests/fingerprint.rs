//! Tests for request fingerprints.

use hawthorn_route::fingerprint::RequestFingerprint;

#[test]
fn fingerprint_depends_on_each_part_and_on_part_boundaries() {
    let base = ["GET", "a.example", "/x/?y=1", "body"];
    let fingerprint = |parts: [&str; 4]| {
        RequestFingerprint::of(parts[0], parts[1], parts[2], parts[3].as_bytes())
    };
    let variants = [
        ["POST", "a.example", "/x/?y=1", "body"],
        ["GET", "b.example", "/x/?y=1", "body"],
        ["GET", "a.example", "/x/?y=2", "body"],
        ["GET", "a.example", "/x/?y=1", "bodY"],
        ["GET", "a.example", "/x/?y=1b", "ody"],
    ];
    assert_eq!(fingerprint(base), fingerprint(base));
    for variant in variants {
        assert_ne!(fingerprint(base), fingerprint(variant), "{variant:?}");
    }
}
