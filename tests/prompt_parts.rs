//! Parts of a prompt that requests share, from the header that lists them.

use sesamewing::{
    decide::quarantine::{EndId, Generation, PartId, PartKey},
    gateway::shared_parts,
};

fn ids(list: &str) -> Vec<u64> {
    let mut ids: Vec<_> = shared_parts(list).into_iter().map(|id| id.0).collect();
    ids.sort_unstable();
    ids
}

/// Guards against a part that counts as another one because a caller writes its id in another form.
#[test]
fn forms_of_an_id() {
    assert_eq!(ids("5c1e07a2:800,91bd:4,e4:250"), [0x91bd, 0x5c1e_07a2]);
    assert_eq!(ids("00aB:1, ab:7 ,AB,f:1"), [0xab]);
    let long = "f".repeat(40);
    assert_eq!(
        ids(&format!("{long}:1,1:1")),
        ids(&format!("0{long}:1,1:1"))
    );
}

/// Guards against a request's own part that is blamed in place of a shared one, and against text that is not an id.
#[test]
fn own_part_and_malformed_text() {
    assert!(ids("").is_empty());
    assert!(ids("ab:1").is_empty());
    assert!(ids(",").is_empty());
    assert_eq!(ids("x:1,:2,-1:3,ab:no,c:1"), [0xab]);
}

/// Guards against lists of a caller's making that grow the state of an entry, or hide a part at a fixed position.
#[test]
fn long_lists_are_sampled() {
    let list: Vec<_> = (0..1000).map(|i| format!("{i:x}:1")).collect();
    let list = list.join(",");
    assert_eq!(shared_parts(&list).len(), 64);
    let found = (0..400).any(|_| shared_parts(&list).contains(&PartId(500)));
    assert!(found, "the part in the middle is never considered");
}

/// Guards against text forms in logs that do not lead back to what they stand for.
#[test]
fn text_forms_round_trip() {
    let service = "pool".parse().expect("a valid name");
    let key = PartKey::new(&service, PartId(0x5c1e));
    assert_eq!(key.to_string().parse(), Ok(key));
    assert_eq!(EndId(7).to_string().parse(), Ok(EndId(7)));
    assert_eq!(Generation(9).to_string().parse(), Ok(Generation(9)));
    assert!("5c1e".parse::<PartKey>().is_err());
    assert!("5c1e@x".parse::<PartKey>().is_err());
}
