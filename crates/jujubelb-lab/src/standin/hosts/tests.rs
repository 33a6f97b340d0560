//! Guards against a list without lag, which would hide requests sent to leaving hosts.

use super::*;

#[test]
fn change_appears_after_the_lag() {
    let table = HostTable::default();
    let address = "127.0.0.1:1".parse().unwrap();
    table.set(Time::ZERO, address, false);
    let (change, shown) = (Time::from_millis(5_000), Time::from_millis(6_000));
    let before = table.answer(change, 0);
    assert!(!before.hosts.unwrap()[0].leaving);
    table.set(change, address, true);
    let during = table.answer(change, 0);
    assert!(
        !during.hosts.unwrap()[0].leaving,
        "the host must stay listed during the lag"
    );
    let after = table.answer(shown, before.version);
    assert!(after.hosts.unwrap()[0].leaving);
    assert!(table.answer(shown, after.version).hosts.is_none());
}
