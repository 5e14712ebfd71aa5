//! Configuration documents: serialization round trip, hash and size limit.

mod support;

use hawthorn_intent::ConfigDocument;
use hawthorn_intent::document::Error;
use hawthorn_types::ConfigRevision;
use support::DAR_PORT;
use support::TestResult;

fn document() -> ConfigDocument {
    ConfigDocument {
        revision: ConfigRevision(7),
        edit_id: "e7".to_owned(),
        author: "asha".to_owned(),
        changed_at: 1_700_000_000_000,
        parent: Some("e6".to_owned()),
        inventory: DAR_PORT.inventory.to_owned(),
        rules: DAR_PORT.rules.to_owned(),
    }
}

#[test]
fn documents_survive_a_serialization_round_trip() -> TestResult {
    let document = document();
    let read = ConfigDocument::from_json(&document.to_json()?)?;
    assert_eq!(read, document);
    assert_eq!(read.hash(), document.hash());
    Ok(())
}

struct ChangeCase {
    name: &'static str,
    change: fn(&mut ConfigDocument),
}

#[test]
fn every_field_changes_the_hash() -> TestResult {
    let cases = [
        ChangeCase { name: "revision", change: |document| document.revision.0 += 1 },
        ChangeCase { name: "edit", change: |document| document.edit_id.push('x') },
        ChangeCase { name: "author", change: |document| document.author.clear() },
        ChangeCase { name: "time", change: |document| document.changed_at += 1 },
        ChangeCase { name: "no parent", change: |document| document.parent = None },
        ChangeCase { name: "inventory", change: |document| document.inventory.push('\n') },
        ChangeCase {
            name: "text moved from one part to the next",
            change: |document| {
                let last = document.inventory.pop().map(String::from).unwrap_or_default();
                document.rules.insert_str(0, &last);
            },
        },
    ];
    for case in cases {
        let mut changed = document();
        (case.change)(&mut changed);
        assert_ne!(changed.hash(), document().hash(), "{}", case.name);
    }
    Ok(())
}

#[test]
fn a_document_too_large_for_the_store_is_not_serialized() -> TestResult {
    let mut document = document();
    document.rules = "# more\n".repeat(200_000);
    assert!(matches!(document.to_json(), Err(Error::TooLarge(_))));
    assert!(matches!(ConfigDocument::from_json("{}"), Err(Error::Json(_))));
    Ok(())
}
