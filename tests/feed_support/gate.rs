//! A TCP path to the platform that can be cut.

use std::net::SocketAddr;

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

pub(crate) struct Gate {
    pub(crate) url: String,
    open: watch::Sender<bool>,
}

impl Gate {
    pub(crate) async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let url = format!("http://{}", listener.local_addr().expect("bound"));
        let open = watch::Sender::new(true);
        let state = open.subscribe();
        tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let mut state = state.clone();
                tokio::spawn(async move {
                    if !*state.borrow_and_update() {
                        return;
                    }
                    let Ok(mut far) = TcpStream::connect(to).await else {
                        return;
                    };
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                        _ = state.wait_for(|open| !open) => {}
                    }
                });
            }
        });
        Self { url, open }
    }

    pub(crate) fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}
