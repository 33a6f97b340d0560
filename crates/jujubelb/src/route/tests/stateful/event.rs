//! Events of the stateful test. Indexes are taken modulo the number of items.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// An event in the simulation.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A caller sends a new request to a host.
    Call {
        host: usize,
        idempotent: bool,
        keyed: bool,
        batch: bool,
        deadline: u64,
    },
    /// A caller whose request ended sends it again, possibly to another host.
    Retry { call: usize, host: usize },
    /// A host takes the next step of a request.
    Next { call: usize },
    /// The next steps of all open requests are taken, in order.
    NextAll,
    /// A message to a holder arrives, and then its reply unless that is lost. With
    /// `duplicate` the message stays in transit and can arrive again.
    Claim {
        message: usize,
        lost: bool,
        duplicate: bool,
    },
    /// All messages to holders arrive.
    ClaimAll,
    /// A message to a holder is lost.
    LoseClaim { message: usize },
    /// A request reaches its endpoint.
    Arrive { attempt: usize },
    /// All requests reach their endpoints.
    ArriveAll,
    /// A response reaches its host.
    Respond { attempt: usize, leaving: bool },
    /// All responses reach their hosts.
    RespondAll,
    /// A connection breaks; the request may still reach its endpoint.
    Break { attempt: usize },
    /// The caller disconnects.
    HangUp { call: usize },
    /// An endpoint goes down (0), comes up (1) or starts to leave (2).
    SetEndpoint { endpoint: usize, state: u8 },
    /// All endpoints go down, come up or start to leave.
    SetAllEndpoints { state: u8 },
    /// A host reads the host list.
    HostList { host: usize },
    /// The configuration declares whether an endpoint is leaving.
    DeclareLeaving { endpoint: usize, leaving: bool },
    /// A host crashes and loses its state.
    Kill { host: usize },
    /// A host starts without state.
    Start { host: usize },
    /// A host starts a planned stop.
    Drain { host: usize },
    /// The configuration changes the set of entry hosts, to those with a set bit.
    SetEntryHosts { mask: u8 },
    /// A host applies the current configuration.
    Configure { host: usize },
    /// All hosts exchange heartbeats.
    Heartbeats,
    /// Time advances, in milliseconds.
    Advance { by: u64 },
}

/// All kinds of events. The reference has no state: every event is possible at any time.
pub(super) struct RequestEvents;

impl ReferenceStateMachine for RequestEvents {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        let i = 0..64usize;
        prop_oneof![
            14 => requests(),
            6 => (i.clone(), i.clone()).prop_map(|(call, host)| Event::Retry { call, host }),
            8 => i.clone().prop_map(|call| Event::Next { call }),
            14 => Just(Event::NextAll),
            6 => (i.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(message, lost, duplicate)| Event::Claim { message, lost, duplicate }),
            8 => Just(Event::ClaimAll),
            1 => i.clone().prop_map(|message| Event::LoseClaim { message }),
            6 => i.clone().prop_map(|attempt| Event::Arrive { attempt }),
            6 => Just(Event::ArriveAll),
            6 => (i.clone(), prop::bool::weighted(0.1))
                .prop_map(|(attempt, leaving)| Event::Respond { attempt, leaving }),
            4 => Just(Event::RespondAll),
            4 => i.clone().prop_map(|attempt| Event::Break { attempt }),
            2 => i.clone().prop_map(|call| Event::HangUp { call }),
            12 => failures(),
            6 => (0..300u64).prop_map(|by| Event::Advance { by }),
            1 => (1_000..13_000u64).prop_map(|by| Event::Advance { by }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

/// Events around claims: keyed requests with unknown outcomes, callers that retry, and
/// holders that crash and restart.
pub(super) struct ClaimEvents;

impl ReferenceStateMachine for ClaimEvents {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        let i = 0..64usize;
        prop_oneof![
            2 => (i.clone(), 500..1_000u64).prop_map(|(host, deadline)| Event::Call {
                host,
                idempotent: false,
                keyed: true,
                batch: false,
                deadline,
            }),
            8 => (i.clone(), i.clone()).prop_map(|(call, host)| Event::Retry { call, host }),
            14 => Just(Event::NextAll),
            10 => Just(Event::ClaimAll),
            4 => (i.clone(), any::<bool>(), any::<bool>())
                .prop_map(|(message, lost, duplicate)| Event::Claim { message, lost, duplicate }),
            8 => Just(Event::ArriveAll),
            6 => i.clone().prop_map(|attempt| Event::Break { attempt }),
            5 => i.clone().prop_map(|host| Event::Kill { host }),
            7 => i.clone().prop_map(|host| Event::Start { host }),
            1 => any::<u8>().prop_map(|mask| Event::SetEntryHosts { mask }),
            2 => i.prop_map(|host| Event::Configure { host }),
            3 => (0..600u64).prop_map(|by| Event::Advance { by }),
            1 => (6_000..13_000u64).prop_map(|by| Event::Advance { by }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

fn requests() -> impl Strategy<Value = Event> {
    let flags = (any::<bool>(), any::<bool>(), prop::bool::weighted(0.2));
    (0..64usize, flags, 1..1_000u64).prop_map(|(host, (idempotent, keyed, batch), deadline)| {
        Event::Call {
            host,
            idempotent,
            keyed,
            batch,
            deadline,
        }
    })
}

fn failures() -> impl Strategy<Value = Event> {
    let i = 0..64usize;
    prop_oneof![
        4 => (i.clone(), 0..3u8).prop_map(|(endpoint, state)| Event::SetEndpoint { endpoint, state }),
        1 => (0..3u8).prop_map(|state| Event::SetAllEndpoints { state }),
        3 => i.clone().prop_map(|host| Event::HostList { host }),
        1 => (i.clone(), any::<bool>())
            .prop_map(|(endpoint, leaving)| Event::DeclareLeaving { endpoint, leaving }),
        1 => i.clone().prop_map(|host| Event::Kill { host }),
        3 => i.clone().prop_map(|host| Event::Start { host }),
        1 => i.clone().prop_map(|host| Event::Drain { host }),
        1 => any::<u8>().prop_map(|mask| Event::SetEntryHosts { mask }),
        3 => i.prop_map(|host| Event::Configure { host }),
        3 => Just(Event::Heartbeats),
    ]
}
