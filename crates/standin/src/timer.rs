//! Sleeping with a resolution below 1 ms.
//!
//! The timers of the runtime round up to the next ms. A service time of 0.5 ms would take
//! up to 2 ms, more than the latency that a node may add.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock},
    thread,
    time::Instant,
};

use tokio::sync::oneshot;

/// The timer of this process; none when its thread could not be started.
static TIMER: OnceLock<Option<Arc<Timer>>> = OnceLock::new();

#[derive(Debug, Default)]
struct Timer {
    state: Mutex<State>,
    added: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Instants and the keys of their waiters, earliest first.
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    next_key: u64,
}

/// Sleeps until an instant; returns at once when it has passed.
pub(crate) async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let Some(timer) = TIMER.get_or_init(start) else {
        return actix_rt::time::sleep_until(due.into()).await;
    };
    let (tx, rx) = oneshot::channel();
    timer.add(due, tx);
    // The timer thread never ends and sends to every waiter.
    drop(rx.await);
}

fn start() -> Option<Arc<Timer>> {
    let timer = Arc::new(Timer::default());
    let run = Arc::clone(&timer);
    thread::Builder::new()
        .name("standin-timer".to_owned())
        .spawn(move || run.run())
        .ok()?;
    Some(timer)
}

impl Timer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn add(&self, due: Instant, waiter: oneshot::Sender<()>) {
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        state.due.push(Reverse((due, key)));
        state.waiters.insert(key, waiter);
        drop(state);
        self.added.notify_one();
    }

    fn run(&self) {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            state = match state.due.peek().map(|Reverse((due, _))| *due) {
                None => self
                    .added
                    .wait(state)
                    .unwrap_or_else(|err| err.into_inner()),
                Some(due) if due > now => match self.added.wait_timeout(state, due - now) {
                    Ok((state, _)) => state,
                    Err(err) => err.into_inner().0,
                },
                Some(_) => {
                    state.fire();
                    state
                }
            };
        }
    }
}

impl State {
    /// Wakes the earliest waiter.
    fn fire(&mut self) {
        if let Some(Reverse((_, key))) = self.due.pop()
            && let Some(waiter) = self.waiters.remove(&key)
        {
            // The waiter is gone when its request was cancelled.
            waiter.send(()).ok();
        }
    }
}
