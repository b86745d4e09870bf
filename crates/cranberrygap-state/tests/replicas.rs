//! Replicas reach the same state, whether they apply all commands or restore a snapshot.
#![allow(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod fixture;

use cranberrygap_state::{command, endpoint, fleet};
use cranberrygap_wire::claim;
use proptest::prelude::{Strategy, proptest};
use proptest::{collection, prop_assert_eq, prop_oneof};

fn any_command() -> impl Strategy<Value = command::Command> {
    let key = || (0_u8..4).prop_map(|number| format!("k-{number}"));
    prop_oneof![
        (0_u8..6, 0_u64..6).prop_map(|(change, expect)| {
            let text = format!("[defaults]\nrate = {change}/s\n");
            fixture::configure(&format!("c-{change}"), "ada", expect, &text)
        }),
        (0_u8..6, 0_u8..4).prop_map(|(change, number)| {
            fixture::issue(
                &format!("i-{change}"),
                "fjordtall",
                &fixture::secret(number),
            )
        }),
        (0_u8..6, 0_u8..4).prop_map(|(change, number)| {
            fixture::withdraw(&format!("w-{change}"), &fixture::secret(number))
        }),
        (0_u64..3, 0_u64..5).prop_map(|(boot, sequence)| fixture::announce(boot, sequence)),
        (0_u64..3, 0_u64..5).prop_map(|(boot, sequence)| {
            command::Command::Endpoint(endpoint::Step::Silent(fixture::seen(boot, sequence)))
        }),
        (key(), 0_u8..2).prop_map(|(key, body)| fixture::open(&key, &body.to_string())),
        (key(), 0_u64..6)
            .prop_map(|(key, claim)| { fixture::close(&key, claim, claim::Outcome::NotRun) }),
        (key(), 0_u64..6)
            .prop_map(|(key, claim)| { fixture::close(&key, claim, fixture::response("e30=")) }),
    ]
}

proptest! {
    // A replica that lagged restores a snapshot and applies the rest; others have applied
    // every command. If they differed, callers would get other answers after each change
    // of the leader.
    #[test]
    fn restored_replica_does_not_differ(
        commands in collection::vec(any_command(), 1..60),
        cut in 0_usize..60,
    ) {
        let mut whole = fixture::Group::default();
        let mut restored = fixture::Group::default();
        for (position, command) in commands.into_iter().enumerate() {
            if position == cut {
                restored.fleet = fleet::Fleet::restore(&restored.fleet.snapshot()).unwrap();
            }
            let one = whole.commit(command.clone());
            let other = restored.commit(command);
            prop_assert_eq!(one, other);
        }
        prop_assert_eq!(whole.fleet, restored.fleet);
    }
}
