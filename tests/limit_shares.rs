//! Shares of a workspace's limits at the entries of a region.

mod entry_support;

use std::collections::BTreeMap;

use entry_support::World;
use sesamewing::{
    base::{Millis, Offset, ProcessName},
    decide::limit::share::{Share, ShareHolder, SharePool},
    net::Transport,
    wire::{Call, Open, ShareItem, ShareReply, ShareRequest},
};

/// Guards against grants that add up to more than the limit, and against shares that do not follow demand.
#[test]
fn shares_follow_demand_within_the_limit() {
    let limit = Share {
        concurrency: 64,
        rate: 1_000_000,
    };
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut pool = SharePool::default();
        let mut held: BTreeMap<ProcessName, (Share, Millis)> = BTreeMap::new();
        let mut now = Millis(0);
        for _ in 0..400 {
            now += Millis(random.u64(0..300));
            let name: ProcessName = format!("entry-{}", random.u32(0..9)).parse().unwrap();
            let demand = Share {
                concurrency: random.u32(0..100),
                rate: random.u64(0..2_000_000),
            };
            let got = pool.grant(now, &name, demand, limit, Millis(3000), 9);
            held.insert(name, (got, now + Millis(3000)));
            held.retain(|_, (_, until)| *until > now);
            let sum: u32 = held.values().map(|(s, _)| s.concurrency).sum();
            let rate: u64 = held.values().map(|(s, _)| s.rate).sum();
            assert!(
                sum <= 64 && rate <= 1_000_000,
                "seed {seed}: {sum} at once, {rate} a second"
            );
        }
    }
    let mut pool = SharePool::default();
    let names: Vec<ProcessName> = (0..3).map(|i| format!("e{i}").parse().unwrap()).collect();
    let grant = |pool: &mut SharePool, i: usize, concurrency| {
        let demand = Share {
            concurrency,
            rate: 0,
        };
        pool.grant(Millis(1), &names[i], demand, limit, Millis(3000), 3)
            .concurrency
    };
    assert_eq!(
        grant(&mut pool, 0, 500),
        64,
        "the only entry with demand gets the whole limit"
    );
    grant(&mut pool, 1, 500);
    // The first entry gives up its surplus with its next report; then each has half of the limit.
    assert_eq!(grant(&mut pool, 0, 500), 32);
    assert_eq!(grant(&mut pool, 1, 500), 32);
}

/// Guards against an entry without a coordinator that admits no requests, or as many as the whole limit allows.
#[test]
fn without_a_grant_the_share_is_equal() {
    let limit = Share {
        concurrency: 64,
        rate: 90_000,
    };
    let mut holder = ShareHolder::default();
    assert_eq!(
        holder.share(Millis(1), limit, 9),
        Share {
            concurrency: 8,
            rate: 10_000
        }
    );
    holder.set_grant(
        Share {
            concurrency: 50,
            rate: 0,
        },
        Millis(100),
    );
    assert_eq!(holder.share(Millis(99), limit, 9).concurrency, 50);
    let lower = Share {
        concurrency: 10,
        rate: 0,
    };
    assert_eq!(
        holder.share(Millis(99), lower, 9).concurrency,
        10,
        "a lowered limit applies at once"
    );
    assert_eq!(holder.share(Millis(100), limit, 9).concurrency, 8);
}

/// Guards against a coordinator that grants more than the limit, or a share for an unknown workspace.
#[tokio::test(flavor = "multi_thread")]
async fn entry_grants_shares_to_others() {
    let world = World::model(1).await;
    world.publish("/east/drafts/lab", &[("limit.concurrency", "10")]);
    let other = Transport::bind("127.0.0.1:0".parse().unwrap(), world.certs.files()).unwrap();
    let peer = world.ctx.transport.local_addr().unwrap();
    let mut sum = 0;
    for i in 0..3 {
        let item = |workspace: &str| ShareItem {
            service: "drafts".parse().unwrap(),
            workspace: workspace.parse().unwrap(),
            concurrency: 6,
            rate: 1000,
        };
        let open = Open {
            sender: format!("entry-{}", i + 2).parse().unwrap(),
            applied: Offset(0),
            call: Call::Share(ShareRequest {
                lifetime: Millis(60_000),
                items: vec![item("lab"), item("nobody")],
            }),
        };
        let mut call = other.call(peer, &open).await.unwrap();
        let reply: ShareReply = call.rx.next(1 << 16, Millis(10_000)).await.unwrap();
        assert_eq!(reply.items.len(), 1);
        sum += reply.items[0].concurrency;
    }
    assert_eq!(sum, 10);
}
