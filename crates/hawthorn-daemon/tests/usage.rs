//! How an owner uses a target on its way in or out.

use hawthorn_daemon::owner::usage::HoldVerdict;
use hawthorn_daemon::owner::usage::UsageInputs;
use hawthorn_daemon::owner::usage::usage;
use hawthorn_types::DesiredState;
use hawthorn_types::TargetPhase;

struct UsageCase {
    name: &'static str,
    inputs: UsageInputs,
    used: DesiredState,
}

#[test]
fn a_target_gets_work_only_when_it_can_and_may() {
    use DesiredState::Off;
    use DesiredState::Serve;
    use DesiredState::Standby;
    use HoldVerdict::Held;
    use HoldVerdict::NotJudged;
    use HoldVerdict::Released;
    let ready = Some(TargetPhase::Ready);
    let inputs = |wanted, before, phase, verdict, is_due| UsageInputs {
        wanted,
        before,
        phase,
        verdict,
        is_due,
    };
    let case = |name, inputs, used| UsageCase { name, inputs, used };
    let cases = [
        case("serves on", inputs(Serve, Some(Serve), None, Released, false), Serve),
        case("new to this owner", inputs(Serve, None, None, NotJudged, false), Serve),
        case("back, not told yet", inputs(Serve, Some(Off), None, Released, false), Standby),
        case(
            "back, loading",
            inputs(Serve, Some(Standby), Some(TargetPhase::Cold), Released, false),
            Standby,
        ),
        case("back, warm", inputs(Serve, Some(Standby), ready, Released, false), Serve),
        case("back, its report lies", inputs(Serve, Some(Standby), None, Released, true), Serve),
        case("a new rule", inputs(Off, Some(Serve), ready, NotJudged, false), Serve),
        case("held", inputs(Off, Some(Serve), ready, Held, false), Serve),
        case("held, known to be so late", inputs(Off, Some(Off), ready, Held, false), Serve),
        case("released", inputs(Off, Some(Serve), ready, Released, false), Off),
        case("off, new to this owner", inputs(Off, None, ready, NotJudged, false), Off),
        case("on standby", inputs(Standby, Some(Standby), ready, Released, true), Standby),
    ];
    for case in cases {
        assert_eq!(usage(case.inputs), case.used, "{}", case.name);
    }
}
