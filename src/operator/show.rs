//! `sesamewing show`: the values in force at a node and where each comes from.

use linkme::distributed_slice;
use serde_json::json;

use super::{state, table::table, Command, Invocation, OperatorError, Outcome, COMMANDS};
use crate::{
    kernel::NodePath,
    settings::{Tree, OPTIONS},
};

#[distributed_slice(COMMANDS)]
static SHOW: Command = Command {
    name: "show",
    args: "/REGION[/SERVICE[/WORKSPACE]]",
    summary: "show the values in force at a node and where each comes from",
    free: 1,
    options: |_| {},
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let path: NodePath = i
        .arg(0)
        .parse()
        .map_err(|e| OperatorError::Usage(format!("{e}")))?;
    let state = state::load(&i.platform()?, None).await?;
    let config = state.kernel.config();
    let tree = Tree::from(config);
    if !tree.nodes.contains_key(&path) {
        let known: Vec<_> = tree
            .nodes
            .keys()
            .take(20)
            .map(ToString::to_string)
            .collect();
        return Err(OperatorError::Refused(format!(
            "{path} does not exist; the tree has {}",
            known.join(", ")
        )));
    }
    let mut keys: Vec<&str> = OPTIONS.iter().map(|s| s.key).collect();
    // Values that a newer program published are shown although this build does not know their meaning.
    let inherited = path.lineage();
    let set = inherited.iter().filter_map(|p| tree.nodes.get(p));
    keys.extend(set.flat_map(|v| v.keys().map(String::as_str)));
    keys.sort_unstable();
    keys.dedup();
    let mut rows = vec![["OPTION", "VALUE", "FROM", "REVISION", "AUTHOR"]
        .map(str::to_owned)
        .to_vec()];
    let mut values = serde_json::Map::new();
    for key in keys {
        let node = tree
            .source(&path, key)
            .and_then(|p| Some((config.node(&p)?, p)));
        let row = match &node {
            Some((node, from)) => {
                let value = &node.values[key];
                values.insert(
                    key.to_owned(),
                    json!({"value": value, "from": from.to_string(), "revision": node.revision, "author": node.author}),
                );
                [
                    key,
                    shown(value),
                    &from.to_string(),
                    &node.revision.to_string(),
                    &node.author,
                ]
                .map(str::to_owned)
            }
            None => {
                let default = OPTIONS
                    .iter()
                    .find(|s| s.key == key)
                    .map_or("", |s| s.default);
                values.insert(key.to_owned(), json!({"value": default, "from": null}));
                [key, shown(default), "default", "", ""].map(str::to_owned)
            }
        };
        rows.push(row.to_vec());
    }
    let text = format!(
        "{path} at offset {}\n{}",
        state.kernel.applied(),
        table(&rows)
    );
    Ok(Outcome::done(
        text,
        json!({"path": path.to_string(), "offset": state.kernel.applied(), "values": values}),
    ))
}

/// Makes an empty value visible.
fn shown(value: &str) -> &str {
    if value.is_empty() {
        return "\"\"";
    }
    value
}
