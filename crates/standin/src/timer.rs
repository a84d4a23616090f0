//! Sleeping with a resolution below 1 ms.
//!
//! The timers of the runtime round up to the next ms. With them, a service time of 0.5 ms
//! would take up to 2 ms, which is more than the latency that a node may add.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock},
    thread,
    time::Instant,
};

use tokio::sync::oneshot;

/// The timer of this process; `None` when its thread could not be started.
static TIMER: OnceLock<Option<Arc<Timer>>> = OnceLock::new();

#[derive(Debug, Default)]
struct Timer {
    state: Mutex<TimerState>,
    timer_added: Condvar,
}

#[derive(Debug, Default)]
struct TimerState {
    /// Wake-up times and the keys of their waiters, earliest first.
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    waiters: HashMap<u64, oneshot::Sender<()>>,
    next_key: u64,
}

/// Sleeps until `due`; returns at once when that has passed.
pub(crate) async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let Some(timer) = TIMER.get_or_init(start_timer) else {
        return actix_rt::time::sleep_until(due.into()).await;
    };
    let (tx, rx) = oneshot::channel();
    timer.add_waiter(due, tx);
    // The timer thread never ends and sends to every waiter.
    drop(rx.await);
}

fn start_timer() -> Option<Arc<Timer>> {
    let timer = Arc::new(Timer::default());
    let thread_timer = Arc::clone(&timer);
    thread::Builder::new()
        .name("standin-timer".to_owned())
        .spawn(move || thread_timer.run())
        .ok()?;
    Some(timer)
}

impl Timer {
    fn lock(&self) -> MutexGuard<'_, TimerState> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn add_waiter(&self, due: Instant, waiter: oneshot::Sender<()>) {
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        state.due.push(Reverse((due, key)));
        state.waiters.insert(key, waiter);
        drop(state);
        self.timer_added.notify_one();
    }

    fn run(&self) {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            state = match state.due.peek().map(|Reverse((due, _))| *due) {
                None => self
                    .timer_added
                    .wait(state)
                    .unwrap_or_else(|err| err.into_inner()),
                Some(due) if due > now => match self.timer_added.wait_timeout(state, due - now) {
                    Ok((state, _)) => state,
                    Err(err) => err.into_inner().0,
                },
                Some(_) => {
                    state.wake_earliest();
                    state
                }
            };
        }
    }
}

impl TimerState {
    /// Wakes the earliest waiter.
    fn wake_earliest(&mut self) {
        if let Some(Reverse((_, key))) = self.due.pop()
            && let Some(waiter) = self.waiters.remove(&key)
        {
            // The receiver has been dropped when the request was cancelled.
            waiter.send(()).ok();
        }
    }
}
