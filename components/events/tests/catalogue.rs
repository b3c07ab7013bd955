//! The event catalogue and `docs/EVENTS.md` list the same events.

use events::ALL;

fn page_rows() -> Vec<String> {
    let page = include_str!("../../../docs/EVENTS.md");
    page.lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(str::to_owned)
        .collect()
}

#[test]
fn the_page_lists_every_event_and_no_other() {
    let rows: Vec<String> =
        ALL.iter().map(|event| format!("| {} | {:?} | {} |", event.number, event.level, event.text)).collect();
    assert_eq!(page_rows(), rows);
}

#[test]
fn event_numbers_are_in_ascending_order() {
    assert!(ALL.windows(2).all(|pair| pair[0].number < pair[1].number));
}
