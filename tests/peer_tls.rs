//! Mutual TLS between processes: who is refused, and how certificates are replaced.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
};

use assert_matches::assert_matches;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use sesamewing::{
    base::{Millis, Offset},
    net::{Incoming, NetError, TlsFiles, Transport, SERVER_NAME},
    wire::{encode, AgentReport, Call, Open, WatchRequest},
};

/// Time for an answer of a process on the same machine.
const TIMEOUT: Millis = Millis::from_secs(20);

type Authority = CertifiedIssuer<'static, KeyPair>;

fn authority() -> Authority {
    let mut params = CertificateParams::new([]).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

/// Writes the files of a process whose certificate `issuer` signed and that trusts `trusted`.
fn write(dir: &Path, issuer: &Authority, trusted: &Authority) -> TlsFiles {
    let key = KeyPair::generate().unwrap();
    let params = CertificateParams::new([SERVER_NAME.to_owned()]).unwrap();
    let node = params.signed_by(&key, issuer).unwrap();
    let files = TlsFiles {
        authority: dir.join("ca.pem"),
        certificate: dir.join("node.pem"),
        key: dir.join("node.key"),
    };
    std::fs::write(&files.authority, trusted.as_ref().pem()).unwrap();
    std::fs::write(&files.certificate, node.pem()).unwrap();
    std::fs::write(&files.key, key.serialize_pem()).unwrap();
    files
}

fn bind(files: &TlsFiles) -> Transport {
    Transport::bind("127.0.0.1:0".parse().unwrap(), files.clone()).unwrap()
}

fn open() -> Open {
    Open {
        sender: "peer".parse().unwrap(),
        applied: Offset(0),
        call: Call::Watch(WatchRequest {
            interval: Millis(1000),
        }),
    }
}

/// Starts a process that answers each call with its offset, and counts the calls.
fn serve(transport: &Transport) -> Arc<AtomicUsize> {
    let calls = Arc::new(AtomicUsize::new(0));
    let (transport, counted) = (transport.clone(), calls.clone());
    tokio::spawn(async move {
        let handle = move |mut incoming: Incoming| {
            counted.fetch_add(1, Ordering::Relaxed);
            async move {
                let _ = incoming.call.tx.send(&Offset(7)).await;
                incoming.call.tx.finish();
                incoming.call.tx.closed().await;
            }
        };
        transport.serve(handle).await;
    });
    calls
}

async fn ask(client: &Transport, server: &Transport) -> Result<Offset, NetError> {
    let mut call = client.call(server.local_addr().unwrap(), &open()).await?;
    call.rx.next(64, TIMEOUT).await
}

/// Guards against calls of processes that the deployment's authority did not certify, and against trust in servers
/// that it did not certify.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn foreign_certificates_get_nothing() {
    let dirs: Vec<_> = (0..4).map(|_| tempfile::tempdir().unwrap()).collect();
    let (ours, theirs) = (authority(), authority());
    let server = bind(&write(dirs[0].path(), &ours, &ours));
    let calls = serve(&server);
    let member = bind(&write(dirs[1].path(), &ours, &ours));
    assert_eq!(ask(&member, &server).await, Ok(Offset(7)));
    // It trusts the server, but its own certificate is foreign.
    let foreign = bind(&write(dirs[2].path(), &theirs, &ours));
    assert_matches!(ask(&foreign, &server).await, Err(_));
    // Its certificate is of the deployment, but it trusts another authority.
    let misled = bind(&write(dirs[3].path(), &ours, &theirs));
    assert_matches!(ask(&misled, &server).await, Err(NetError::Connect { .. }));
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}

/// Guards against a restart for each new certificate, and against a process without any after a bad file.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn certificates_are_replaced_without_restart() {
    let dirs: Vec<_> = (0..2).map(|_| tempfile::tempdir().unwrap()).collect();
    let (old, new) = (authority(), authority());
    let files = write(dirs[0].path(), &old, &old);
    let server = bind(&files);
    serve(&server);
    let client = bind(&write(dirs[1].path(), &new, &new));
    assert_matches!(ask(&client, &server).await, Err(_));
    std::fs::write(&files.certificate, "not a certificate").unwrap();
    assert_matches!(server.reload(), Err(_));
    write(dirs[0].path(), &new, &new);
    server.reload().unwrap();
    assert_eq!(ask(&client, &server).await, Ok(Offset(7)));
}

/// Guards against memory for a message that is larger than its type may be, and against a cut one that passes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_and_cut_messages_are_refused() {
    let dir = tempfile::tempdir().unwrap();
    let ours = authority();
    let files = write(dir.path(), &ours, &ours);
    let (server, client) = (bind(&files), bind(&files));
    serve(&server);
    let address = server.local_addr().unwrap();
    let mut call = client.call(address, &open()).await.unwrap();
    assert_matches!(
        call.rx.next::<Offset>(0, TIMEOUT).await,
        Err(NetError::Codec(_))
    );
    let mut call = client.call(address, &open()).await.unwrap();
    assert_matches!(
        call.rx.next::<AgentReport>(64, TIMEOUT).await,
        Err(NetError::Codec(_))
    );
    let frame = encode(&open()).unwrap();
    for end in 4..frame.len() {
        assert_matches!(sesamewing::wire::decode::<Open>(&frame[4..end]), Err(_));
    }
}
