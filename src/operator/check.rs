//! `sesamewing check`: checks a settings tree without a platform.

use linkme::distributed_slice;
use serde_json::json;

use super::{Command, Invocation, OperatorError, Outcome, COMMANDS};
use crate::settings::Tree;

#[distributed_slice(COMMANDS)]
static CHECK: Command = Command {
    name: "check",
    args: "FILE",
    summary: "check a settings tree",
    free: 1,
    options: |_| {},
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let tree = Tree::load(&i.file())?;
    let nodes = tree.nodes.len();
    Ok(Outcome::done(
        format!("{}: ok, {nodes} nodes", i.arg(0)),
        json!({"ok": true, "nodes": nodes}),
    ))
}
