//! Import of the asset register: valid rows become targets, others are reported.

mod support;

use hawthorn_intent::import::Error;
use hawthorn_intent::import::import;
use hawthorn_intent::inventory;
use hawthorn_intent::inventory::Inventory;
use support::DAR_PORT;
use support::POLAND;
use support::TestResult;
use support::check_example;
use support::fixed_runner;
use support::small_inventory;

#[test]
fn example_registers_yield_the_example_inventories() -> TestResult {
    for (example, skipped) in [(DAR_PORT, 2), (POLAND, 1)] {
        let inventory = check_example(example).inventory;
        let base = Inventory { targets: Vec::new(), ..inventory.clone() };
        let outcome = import(example.register, &base, &Default::default())?;
        assert_eq!(outcome.inventory, inventory, "{}", example.name);
        assert_eq!(outcome.skipped.len(), skipped, "{}", example.name);
        assert_eq!(outcome.ignored_columns, ["rack"], "{}", example.name);
        let read = inventory::read(&outcome.toml);
        assert_eq!(read.faults, [], "{}", example.name);
        assert_eq!(read.inventory, inventory, "{}: serialization round trip", example.name);
    }
    Ok(())
}

#[test]
fn skipped_rows_are_reported_with_all_reasons() -> TestResult {
    let register = "\
asset,name,service,zone,address,shards,status,slots
A1,a,desk,east,10.0.0.1:7000,desk/00,in-use,4
A1,b,desk,west,10.0.0.1:7000,desk/01,in-use,
A2,c,desk,north,10.0.0.3:7000,desk/07,in-use,many
A3,d,dsk,east,store.example:7000,,retired,
A4,e e,desk,east,10.0.0.5:0,desk/00 desk/00,spare,0
A5,f
A1,g,desk,west,10.0.0.7:7000,desk/01,scrapped,
A6,h,desk,west,10.0.0.8:7000,desk/00 desk/01,spare,
";
    let text = small_inventory(2, &[]);
    let base = inventory::read(&text).inventory;
    let outcome = import(register, &base, &Default::default())?;
    let imported: Vec<_> =
        outcome.inventory.targets.iter().map(|target| (&*target.name, target.spare)).collect();
    assert_eq!(imported, [("a", false), ("h", true)]);
    assert_eq!(outcome.inventory.targets[0].slots, Some(4));
    let skipped: Vec<_> = outcome.skipped.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(skipped.join("\n"), @r#"
    line 3: asset "A1" skipped: "A1" is in an earlier row; "10.0.0.1:7000" is in an earlier row
    line 4: asset "A2" skipped: not a number within the limits: "many"; no zone "north" in the inventory; the service has no shard "desk/07"
    line 5: asset "A3" skipped: status "retired"; not an IP number with a port: "store.example:7000"; no shards; no service "dsk" in the inventory
    line 6: asset "A4" skipped: not a name: "e e"; not an IP number with a port: "10.0.0.5:0"; shard "desk/00" twice; not a number within the limits: "0"
    line 7: asset "A5" skipped: status ""; no service; no zone; no address; no shards
    line 8: asset "A1" skipped: status "scrapped"
    "#);
    Ok(())
}

#[test]
fn a_register_without_required_columns_is_rejected() -> TestResult {
    let outcome = import("asset,zone\nA1,east\n", &Inventory::default(), &Default::default());
    let Err(Error::MissingColumns(missing)) = outcome else {
        return Err("imported without required columns".into());
    };
    assert_eq!(missing, ["name", "service", "address", "shards", "status"]);
    Ok(())
}

#[test]
fn random_registers_never_panic() -> TestResult {
    let header = "asset,name,service,zone,address,shards,status,slots\n";
    fixed_runner(300).run(&"[A-Za-z0-9,\"\n:./ -]{0,200}", |rows| {
        let imported =
            import(&format!("{header}{rows}"), &Inventory::default(), &Default::default());
        assert!(imported.is_ok_and(|outcome| outcome.inventory.targets.is_empty()));
        Ok(())
    })?;
    Ok(())
}
