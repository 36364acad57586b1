//! An agent that claims to hold every chunk and sends wrong bytes.

use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use sesamewing::{
    backing::HostList,
    base::Size,
    net::{Incoming, NetError},
    process::{Context, ProcessSettings},
    wire::{Call, ChunkReply, ChunkRequest, HaveUpdate, PART_MAX},
};

/// Time between two announcements in the host list, and between two reports to a subscriber.
const INTERVAL: Duration = Duration::from_millis(400);

/// Serves wrong chunks of a size to the agents of the same service until the future is dropped.
///
/// # Errors
///
/// Returns an error if the peer address is taken or the settings cannot be used.
pub async fn serve(settings: ProcessSettings, chunks: u32, size: Size) -> Result<()> {
    let ctx = Context::start(settings)?;
    println!("ready {}", ctx.settings.name);
    let answer = move |incoming: Incoming| async move {
        // A subscriber or reader that leaves ends the exchange.
        let _ = handle(incoming, chunks, size).await;
    };
    let announce = async {
        loop {
            // The list lags anyway; the next round repeats a failed announcement.
            let _ = ctx.platform.announce(&ctx.host_entry()).await;
            tokio::time::sleep(INTERVAL).await;
        }
    };
    tokio::select! {
        () = ctx.transport.serve(answer) => {}
        () = announce => {}
    }
    Ok(())
}

async fn handle(incoming: Incoming, chunks: u32, size: Size) -> Result<(), NetError> {
    let mut call = incoming.call;
    match incoming.open.call {
        Call::Have(_) => {
            let all = vec![0xff; (chunks as usize).div_ceil(8)];
            call.tx.send(&HaveUpdate::All(all.into())).await?;
            loop {
                tokio::time::sleep(INTERVAL).await;
                call.tx.send(&HaveUpdate::Added(Vec::new())).await?;
            }
        }
        Call::Chunk(ChunkRequest::Chunk(_)) => {
            call.tx.send(&ChunkReply::Found(size)).await?;
            let mut left = size.0 as usize;
            while left > 0 {
                let part = left.min(PART_MAX);
                let wrong = Bytes::from(vec![0; part]);
                call.tx.send(&ChunkReply::Part(wrong)).await?;
                left -= part;
            }
            call.tx.finish();
            call.tx.closed().await;
            Ok(())
        }
        Call::Chunk(ChunkRequest::Manifest(_)) => {
            call.tx.send(&ChunkReply::Missing).await?;
            call.tx.finish();
            Ok(())
        }
        _ => Ok(()),
    }
}
