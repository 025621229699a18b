//! `pinerill explain`, and settings of processes that forward calls.

mod support;

use support::{exit, pinerill, Folder};

const NODE: &str = "2026-12-02T11:00:00.2+00:00 INFO n event=table_in_force version=3\n\
    something that is no line\n\
    2026-12-02T11:00:02.5+00:00 INFO n event=call_refused id=abc reason=\"no answer in time\"\n";
const CONTROL: &str = "2026-12-02T11:00:01.0+00:00 INFO c event=role_changed term=7\n";

#[test]
fn the_lines_of_several_logs_tell_what_became_of_a_request() {
    let folder = Folder::new();
    let node = folder.write("node.log", NODE);
    let control = folder.write("control.log", CONTROL);
    let told = pinerill(&["explain", "abc", &node, &control]).done();
    let expected = "2026-12-02T11:00:00.2+00:00 node event=table_in_force version=3\n\
        2026-12-02T11:00:02.5+00:00 node event=call_refused id=abc reason=no answer in time\n\
        \n\
        abc: call_refused at node; reason no answer in time\n";
    assert_eq!(told, expected);
    let message = pinerill(&["explain", "xyz", &node]).refused(exit::WRONG_INPUT);
    assert!(message.contains("xyz"), "{message}");
}

#[test]
fn the_example_of_forwarding_settings_passes_the_check() {
    let example = pinerill(&["settings", "example", "--forwarding"]).done();
    let folder = Folder::new();
    let file = folder.write("forwarding.toml", &example);
    pinerill(&["settings", "check", "--forwarding", &file]).done();
    let wrong = example.replace("batch_share = 0.84", "batch_share = 7.0");
    let file = folder.write("wrong.toml", &wrong);
    let message =
        pinerill(&["settings", "check", "--forwarding", &file]).refused(exit::WRONG_INPUT);
    assert!(message.contains("node.batch_share"), "{message}");
}
