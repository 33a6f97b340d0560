//! Changes that make an invalid document out of a valid one.

use proptest::prelude::*;
use serde_json::{Value, json};

/// What is done to a place of a document.
#[derive(Debug, Clone)]
pub(super) enum Damage {
    Drop,
    Replace(Value),
    /// Exchanges the value with that of another place.
    Swap(usize),
}

fn deep_list() -> Value {
    (0..90).fold(Value::Null, |inner, _| json!([inner]))
}

/// Values of wrong types, out of range or at the edge of it, and changes of places.
pub(super) fn damage() -> impl Strategy<Value = Damage> {
    let odd = prop_oneof![
        Just(json!(null)),
        Just(json!(true)),
        Just(json!("x")),
        Just(json!([])),
        Just(json!({})),
        Just(json!(-1)),
        Just(json!(-0.5)),
        Just(json!(0.5)),
        Just(json!(1e300)),
        Just(json!(u32::MAX)),
        Just(json!(u64::MAX)),
        Just(json!(i64::MIN)),
        Just(json!("\u{0}\u{202e}")),
        Just(deep_list()),
        any::<i64>().prop_map(|n| json!(n)),
        any::<f64>().prop_map(|n| json!(n)),
    ];
    prop_oneof![
        Just(Damage::Drop),
        odd.prop_map(Damage::Replace),
        any::<usize>().prop_map(Damage::Swap),
    ]
}

/// JSON pointers to all places of a document below its root.
fn places(value: &Value, at: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Array(list) => (0..)
            .zip(list)
            .map(|(i, v): (usize, _)| (i.to_string(), v))
            .collect(),
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        _ => Vec::new(),
    };
    for (name, child) in children {
        let place = format!("{at}/{name}");
        found.push(place.clone());
        places(child, &place, found);
    }
}

/// Damages the place of a document with this number.
pub(super) fn apply(document: &mut Value, place: usize, damage: &Damage) {
    let mut all = Vec::new();
    places(document, "", &mut all);
    if all.is_empty() {
        return;
    }
    let target = all[place % all.len()].clone();
    let Some(found) = document.pointer_mut(&target) else {
        return;
    };
    match damage {
        Damage::Replace(value) => *found = value.clone(),
        Damage::Swap(other) => {
            let first = found.take();
            let other = &all[other % all.len()];
            let second = document.pointer_mut(other).map(Value::take);
            if let Some(slot) = document.pointer_mut(other) {
                *slot = first;
            }
            if let (Some(slot), Some(second)) = (document.pointer_mut(&target), second) {
                *slot = second;
            }
        }
        Damage::Drop => {
            let (parent, name) = target.rsplit_once('/').expect("a pointer has a slash");
            match document.pointer_mut(parent) {
                Some(Value::Object(map)) => drop(map.remove(name)),
                Some(Value::Array(list)) => drop(list.remove(name.parse().expect("an index"))),
                _ => {}
            }
        }
    }
}
