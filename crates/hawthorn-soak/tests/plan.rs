//! Plans of seeds.

use std::collections::BTreeSet;
use std::time::Duration;

use hawthorn_soak::plan;
use hawthorn_soak::plan::FaultKind;
use hawthorn_soak::plan::SoakPlan;
use hawthorn_soak::report;
use hawthorn_soak::settings::SoakSettings;
use strum::IntoEnumIterator;

const LENGTH: Duration = Duration::from_secs(90);

fn plan_of(seed: u64) -> SoakPlan {
    plan::plan(seed, LENGTH, &SoakSettings::default())
}

/// Guards against plans that depend on the machine: a seed that was reported elsewhere must do the
/// same here.
#[test]
fn a_seed_gives_the_same_plan_everywhere() {
    let short = plan::plan(1, Duration::from_secs(40), &SoakSettings::default());
    insta::assert_snapshot!(report::plan_text(&short));
}

#[test]
fn a_plan_is_read_as_it_was_written() -> Result<(), Box<dyn std::error::Error>> {
    for seed in 0..20 {
        let plan = plan_of(seed);
        let text = report::plan_text(&plan);
        let read: SoakPlan = toml::from_str(&text)?;
        assert_eq!(report::plan_text(&read), text, "seed {seed}");
    }
    Ok(())
}

#[test]
fn faults_come_alone_in_some_seeds_and_together_in_others() {
    let mut alone = BTreeSet::new();
    let mut together = 0;
    let kinds = FaultKind::iter().count() as u64;
    for seed in 0..3 * kinds {
        let plan = plan_of(seed);
        let used: BTreeSet<FaultKind> = plan.faults.iter().map(|fault| fault.kind).collect();
        if used.len() == 1 {
            alone.extend(used);
        } else if used.len() > 10 {
            together += 1;
        }
        assert!(plan.faults.iter().all(|fault| fault.at + fault.length <= plan.faults_end()));
    }
    assert_eq!(alone.len() as u64, kinds, "each kind comes alone");
    assert!(together as u64 >= kinds / 2, "{together}");
}
