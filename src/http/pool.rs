//! Idle connections, kept for the next request to the same address.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc};

use super::connect::{connect, Connection};
use crate::base::{HashMap, Millis};

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Millis,
}

/// Idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Pool {
    /// Takes the most recently used idle connection, or opens one within `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened.
    pub async fn checkout(
        &self,
        addr: SocketAddr,
        now: Millis,
        limit: Millis,
    ) -> io::Result<Connection> {
        match self.take(addr, now) {
            Some(connection) => Ok(connection),
            None => connect(addr, limit).await,
        }
    }

    /// Takes the most recently used idle connection, if there is one.
    pub fn take(&self, addr: SocketAddr, now: Millis) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop() {
            if entry.expires > now && entry.connection.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last response was read completely until `expires`, unless `max` are kept already.
    pub fn put(&self, addr: SocketAddr, connection: Connection, expires: Millis, max: usize) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        if list.len() < max {
            list.push(Idle {
                connection,
                expires,
            });
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes connections that expired or that the peer closed.
    pub fn sweep(&self, now: Millis) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|e| e.expires > now && !e.connection.is_closed());
            !list.is_empty()
        });
    }
}
