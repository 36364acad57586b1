//! `sesamewing pull`: writes the agreed settings tree to a file.

use linkme::distributed_slice;
use serde_json::json;

use super::{state, Command, Invocation, OperatorError, Outcome, COMMANDS};
use crate::settings::Tree;

#[distributed_slice(COMMANDS)]
static PULL: Command = Command {
    name: "pull",
    args: "FILE [--force]",
    summary: "write the agreed settings tree with its revision to a file",
    free: 1,
    options: |o| {
        o.optflag("", "force", "overwrite an existing file");
    },
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let file = i.file();
    let platform = i.platform()?;
    let state = state::load(&platform, None).await?;
    let mut tree = Tree::from(state.kernel.config());
    tree.revision = Some(state.kernel.applied());
    let mut options = std::fs::OpenOptions::new();
    options.write(true);
    if i.flag("force") {
        options.create(true).truncate(true);
    } else {
        options.create_new(true);
    }
    let text = tree.to_yaml();
    options
        .open(&file)
        .and_then(|mut f| std::io::Write::write_all(&mut f, text.as_bytes()))
        .map_err(|e| {
            let name = file.display();
            OperatorError::Refused(format!(
                "{name} cannot be written ({e}); choose another name or add `--force`"
            ))
        })?;
    let offset = state.kernel.applied();
    Ok(Outcome::done(
        format!(
            "{}: tree at offset {offset}, {} nodes",
            file.display(),
            tree.nodes.len()
        ),
        json!({"offset": offset, "nodes": tree.nodes.len()}),
    ))
}
