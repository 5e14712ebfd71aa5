//! How an owner uses a target whose desired state changes.

use hawthorn_daemon::owner::usage::HoldDecision;
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
fn target_serves_only_when_ready_and_allowed() {
    use DesiredState::Off;
    use DesiredState::Serve;
    use DesiredState::Standby;
    use HoldDecision::Held;
    use HoldDecision::Pending;
    use HoldDecision::Released;
    let ready = Some(TargetPhase::Ready);
    let inputs = |wanted, previous, phase, hold_decision, cold_start_elapsed| UsageInputs {
        wanted,
        previous,
        phase,
        hold_decision,
        cold_start_elapsed,
    };
    let case = |name, inputs, used| UsageCase { name, inputs, used };
    let cases = [
        case("keeps serving", inputs(Serve, Some(Serve), None, Released, false), Serve),
        case("new to this owner", inputs(Serve, None, None, Pending, false), Serve),
        case(
            "wanted again, no order yet",
            inputs(Serve, Some(Off), None, Released, false),
            Standby,
        ),
        case(
            "wanted again, loading",
            inputs(Serve, Some(Standby), Some(TargetPhase::Cold), Released, false),
            Standby,
        ),
        case("wanted again, warm", inputs(Serve, Some(Standby), ready, Released, false), Serve),
        case(
            "wanted again, never reported ready",
            inputs(Serve, Some(Standby), None, Released, true),
            Serve,
        ),
        case("rule changed, no round yet", inputs(Off, Some(Serve), ready, Pending, false), Serve),
        case("held", inputs(Off, Some(Serve), ready, Held, false), Serve),
        case("held after it was off", inputs(Off, Some(Off), ready, Held, false), Serve),
        case("released", inputs(Off, Some(Serve), ready, Released, false), Off),
        case("off, new to this owner", inputs(Off, None, ready, Pending, false), Off),
        case("on standby", inputs(Standby, Some(Standby), ready, Released, true), Standby),
    ];
    for case in cases {
        assert_eq!(usage(case.inputs), case.used, "{}", case.name);
    }
}
