//! Tests of parsing, of error messages and of filtering.

use proptest::prelude::*;
use query::{Statement, Table, filter, parse, parse_one};

fn error_message(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

#[test]
fn every_kind_of_statement_is_read() {
    let script = "
        submit plans/week 12.yaml; # invalid: an unquoted path ends at a space
    ";
    assert!(parse(script).is_err());
    let script = "
        submit plan.yaml;
        change workload planner set instances = 60, priority = urgent if revision = 7;
        change team rail set processors = 400, memory = 2TiB;
        drain worker w-12; restore worker w-12;
        CANCEL workload menus;
        show tasks where team = rail and state != running limit 20;
        why task planner.gt-1.0;
        why worker \"w 12\"
    ";
    insta::assert_debug_snapshot!(parse(script).unwrap());
}

#[test]
fn mistakes_show_their_place_and_what_was_expected() {
    let mistakes =
        ["shw tasks", "change workload planner instances = 3", "show task", "cancel workload", "drain worker a b"];
    insta::assert_snapshot!(mistakes.map(error_message).join("\n\n"));
}

#[test]
fn only_show_and_why_are_no_commands() {
    assert!(!parse_one("show hosts").unwrap().is_command());
    assert!(parse_one("drain worker a").unwrap().is_command());
    assert!(parse_one("show hosts; show tasks").is_err());
}

#[test]
fn numbers_compare_as_numbers_and_an_unknown_column_names_the_known() {
    let mut table = Table::new(&["task", "free"]);
    for (task, free) in [("a", "9"), ("b", "10"), ("c", "100")] {
        table.rows.push(vec![task.to_owned(), free.to_owned()]);
    }
    let Statement::Show { conditions, limit, .. } = parse_one("show workers where free >= 10 limit 1").unwrap() else {
        panic!("a show statement")
    };
    let found = filter(table.clone(), &conditions, limit).unwrap();
    assert_eq!(found.rows, [["b", "10"]]);
    let Statement::Show { conditions, .. } = parse_one("show workers where colour = red").unwrap() else {
        panic!("a show statement")
    };
    assert_eq!(filter(table, &conditions, None).unwrap_err(), "unknown column `colour`; known: task, free");
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused_without_panic(text in "\\PC{0,80}") {
        let _ = parse(&text);
    }
}
