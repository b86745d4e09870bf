//! Names of the methods that the system's processes offer each other.

/// An entry subscribes to the view (`view::Subscribe`, frames `view::Frame`).
pub const VIEW_SUBSCRIBE: &str = "view_subscribe";
/// An entry's heartbeat to the leader (`view::Confirm` to `view::Confirmed`).
pub const VIEW_CONFIRM: &str = "view_confirm";
/// An entry renews its shares (`share::Renew` to `share::Granted`).
pub const SHARE_RENEW: &str = "share_renew";
/// An entry asks to run a booking (`claim::Open` to `claim::Verdict`).
pub const CLAIM_OPEN: &str = "claim_open";
/// An entry tells a booking's outcome (`claim::Close` to nothing).
pub const CLAIM_CLOSE: &str = "claim_close";
/// An entry tells what ran on a dead endpoint (`claim::Crash` to nothing).
pub const CRASH_REPORT: &str = "crash_report";
/// An entry tells of an endpoint that said to it that it drains (`view::Draining` to nothing).
pub const ENDPOINT_DRAINING: &str = "endpoint_draining";
/// An entry asks to run a suspect on an endpoint (`claim::Leave` to a boolean).
pub const SUSPECT_LEAVE: &str = "suspect_leave";
/// An entry asks for an adapter (`traffic::Want` to `traffic::Placed`).
pub const ADAPTER_WANT: &str = "adapter_want";
/// A control process passes on what endpoints said to it (`view::Heard` to nothing).
pub const ENDPOINTS_HEARD: &str = "endpoints_heard";
/// A message of the agreement protocol between control processes.
pub const AGREEMENT: &str = "agreement";

/// An operator applies a configuration (`operator::Apply` to `operator::Applied`).
pub const APPLY: &str = "apply";
/// An operator asks how far a revision is in force (`number::Revision` to `operator::Force`).
pub const FORCE: &str = "force";
/// An operator issues a key (`operator::Issue` to `operator::Issued`).
pub const KEY_ISSUE: &str = "key_issue";
/// An operator withdraws a key (`operator::Withdraw` to `operator::Withdrawn`).
pub const KEY_WITHDRAW: &str = "key_withdraw";
/// An operator lists keys (nothing to a list of `view::Key` without hashes).
pub const KEY_LIST: &str = "key_list";
/// An operator reads what the fleet looks like (nothing to `view::State`).
pub const SHOW: &str = "show";
/// An operator reads accepted changes (nothing to a list of `operator::Record`).
pub const HISTORY: &str = "history";
/// An operator takes an instance or endpoint out of service (`operator::Drain` to
/// `operator::Drained`).
pub const DRAIN: &str = "drain";
/// An operator evacuates a failure domain, or withdraws that (`operator::Evacuate` to
/// `operator::Evacuation`).
pub const EVACUATE: &str = "evacuate";
/// Ends the quarantine of a request; [`crate::operator::Release`].
pub const RELEASE: &str = "release";
/// An operator reads an accepted configuration (`operator::Read` to `operator::Page`).
pub const CONFIGURATION: &str = "configuration";
/// An operator reads the audit trail (`audit::Read` to `audit::Trail`).
pub const AUDIT: &str = "audit";
/// An operator adds a control process to the group (`operator::Join` to `operator::Group`).
pub const MEMBER_ADD: &str = "member_add";
/// An operator removes a control process (`operator::Leave` to `operator::Group`).
pub const MEMBER_REMOVE: &str = "member_remove";
/// An operator lists members and the group (nothing to `operator::Group`).
pub const MEMBER_LIST: &str = "member_list";
/// Any process tells why it decided as it did (`trace::Ask` to `trace::Told`).
pub const EXPLAIN: &str = "explain";
/// Any process prints its whole state (nothing to a JSON object).
pub const DUMP: &str = "dump";

/// Error code of an answer from a control process that is not the leader. Its
/// data is the leader's `address::Peer`, or null when none is known.
pub const NOT_LEADER: i32 = -32_001;
/// Error code of an answer when no quorum could be reached; nothing was changed
/// as far as is known.
pub const NO_QUORUM: i32 = -32_002;
/// Error code of an answer when a change was proposed and it is not known whether
/// it commits; a resend with the same change id tells.
pub const UNKNOWN_OUTCOME: i32 = -32_004;
/// Error code of a request that the replicated state refuses; the message says why.
pub const REFUSED: i32 = -32_003;
