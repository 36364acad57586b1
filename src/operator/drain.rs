//! `sesamewing drain`: asks a process to stop gracefully.

use linkme::distributed_slice;
use reqwest::Method;
use serde_json::json;

use super::{Command, Fleet, Invocation, OperatorError, Outcome, COMMANDS};

#[distributed_slice(COMMANDS)]
static DRAIN: Command = Command {
    name: "drain",
    args: "NAME",
    summary: "stop a process after its requests have ended",
    free: 1,
    options: |_| {},
    run: |i| Box::pin(run(i)),
};

async fn run(i: Invocation) -> Result<Outcome, OperatorError> {
    let fleet = Fleet::read(&i.platform()?).await?;
    let host = fleet.find(i.arg(0))?;
    let name = &host.name;
    fleet
        .call(Method::POST, host.operator, "/drain")
        .await
        .map_err(|e| {
            OperatorError::Unreachable(format!(
                "{name} at {} did not accept the drain ({e}); it may have stopped, see `sesamewing status`",
                host.operator
            ))
        })?;
    Ok(Outcome::done(
        format!("{name} drains; `sesamewing status` lists it until its requests have ended"),
        json!({"name": name, "draining": true}),
    ))
}
