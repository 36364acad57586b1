//! Headers of a caller's request.

use rocket::Request;
use subtle::{Choice, ConstantTimeEq};

use super::Problem;
use crate::{
    base::{wall_ms, Digest, Millis, RequestId, Workspace},
    settings::Access,
};

/// Longest deadline that a caller may name.
const DEADLINE_MAX: Millis = Millis::from_secs(3600);

/// Age up to which a request id counts as new if the caller does not say that it repeats it.
const FRESH: Millis = Millis::from_secs(1);

/// What the headers of a request say.
pub(super) struct Caller {
    /// Workspace.
    pub(super) workspace: Workspace,
    /// BLAKE3 hash of the bearer key.
    key: Option<Digest>,
    /// Request id chosen by the caller.
    pub(super) id: Option<RequestId>,
    /// Time to answer, from the arrival of the request.
    pub(super) deadline: Option<Millis>,
    /// Priority; higher first.
    pub(super) priority: u8,
}

fn bad(error: impl Into<String>, remedy: &str) -> Problem {
    Problem::refused(400, error, remedy)
}

fn header<'r>(req: &'r Request<'_>, name: &str) -> Result<Option<&'r str>, Problem> {
    let mut values = req.headers().get(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(bad(
            format!("the header `{name}` occurs more than once"),
            "send it once",
        ));
    }
    Ok(first.map(str::trim))
}

impl Caller {
    /// Reads the headers.
    ///
    /// # Errors
    ///
    /// Returns a 4xx outcome that names the header and the accepted values.
    pub(super) fn read(req: &Request<'_>) -> Result<Self, Problem> {
        let name = header(req, "Sesamewing-Workspace")?.ok_or_else(|| {
            bad(
                "the header `Sesamewing-Workspace` is missing",
                "send the name of your workspace in it",
            )
        })?;
        let workspace = name.parse().map_err(|_| {
            bad(
                "the header `Sesamewing-Workspace` is not a name",
                "use 1 to 64 letters, digits, `-`, `_` or `.`",
            )
        })?;
        Ok(Self {
            workspace,
            key: bearer(req)?,
            id: id(req)?,
            deadline: deadline(req)?,
            priority: priority(req)?,
        })
    }

    /// Checks the key against the hashes of a workspace; all hashes are compared, in constant time.
    pub(super) fn authorize(&self, access: &Access) -> Result<(), Problem> {
        if access.keys.is_empty() {
            return Ok(());
        }
        let Some(key) = self.key else {
            return Err(Problem::refused(
                401,
                "the workspace requires a key",
                "send `Authorization: Bearer KEY`",
            ));
        };
        let found = access
            .keys
            .iter()
            .fold(Choice::from(0), |found, k| found | k.0.ct_eq(&key.0));
        if bool::from(found) {
            return Ok(());
        }
        Err(Problem::refused(
            401,
            "the key is not valid for the workspace",
            "check the key, and whether it was rotated",
        ))
    }
}

/// Returns whether an earlier call with the same request id may exist.
///
/// A caller says so with a header. An id that is older than [`FRESH`] counts as repeated as well, for callers that do
/// not send the header: to be wrong only weakens "not run" to "may have run".
pub(super) fn is_repeat(req: &Request<'_>) -> bool {
    let key = req.headers().get_one("Idempotency-Key");
    let Some(id) = key.and_then(|k| k.trim().parse::<RequestId>().ok()) else {
        return false;
    };
    let said = req.headers().get_one("Sesamewing-Repeat");
    let created = id.created_ms().map(Millis);
    said.is_some_and(|v| v.trim().eq_ignore_ascii_case("true"))
        || created.is_some_and(|t| t + FRESH < Millis(wall_ms()))
}

fn bearer(req: &Request<'_>) -> Result<Option<Digest>, Problem> {
    let Some(text) = header(req, "Authorization")? else {
        return Ok(None);
    };
    let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
    if !scheme.eq_ignore_ascii_case("bearer") || key.trim().is_empty() {
        return Err(bad(
            "the header `Authorization` has another form than expected",
            "send `Authorization: Bearer KEY`",
        ));
    }
    Ok(Some(Digest::of(key.trim().as_bytes())))
}

fn id(req: &Request<'_>) -> Result<Option<RequestId>, Problem> {
    let Some(text) = header(req, "Idempotency-Key")? else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        bad(
            "the header `Idempotency-Key` is not a UUID",
            "use a new UUID version 7 for each request",
        )
    })
}

fn deadline(req: &Request<'_>) -> Result<Option<Millis>, Problem> {
    let Some(text) = header(req, "Sesamewing-Deadline-Ms")? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms) if ms > 0 && Millis(ms) <= DEADLINE_MAX => Ok(Some(Millis(ms))),
        _ => Err(bad(
            "the header `Sesamewing-Deadline-Ms` is not valid",
            "use whole milliseconds from 1 to 3600000",
        )),
    }
}

fn priority(req: &Request<'_>) -> Result<u8, Problem> {
    let Some(text) = header(req, "Sesamewing-Priority")? else {
        return Ok(0);
    };
    text.parse().map_err(|_| {
        bad(
            "the header `Sesamewing-Priority` is not valid",
            "use a whole number from 0 to 255",
        )
    })
}
