//! `sesamewing diff`: compares a file with the agreed settings tree.

use linkme::distributed_slice;
use serde_json::json;

use super::{
    state::{self, State},
    Change, Command, Invocation, OperatorError, Outcome, COMMANDS,
};
use crate::settings::Tree;

#[distributed_slice(COMMANDS)]
static DIFF: Command = Command {
    name: "diff",
    args: "FILE",
    summary: "show what publishing a settings tree would change",
    free: 1,
    options: |_| {},
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let tree = Tree::load(&i.file())?;
    let platform = i.platform()?;
    let State { kernel, base } = state::load(&platform, tree.revision).await?;
    let head = kernel.config();
    let change = Change::new(&tree, &base, head);
    let conflicts = change.conflicts(head, "this file");
    let mut lines = change.lines(head);
    lines.extend(conflicts.iter().map(|c| format!("! conflict: {c}")));
    if lines.is_empty() {
        lines.push(format!("no change against offset {}", kernel.applied()));
    }
    let paths: Vec<_> = conflicts.iter().map(|c| c.path.to_string()).collect();
    Ok(Outcome::done(
        lines.join("\n"),
        json!({"offset": kernel.applied(), "changes": change.json(), "conflicts": paths}),
    ))
}
