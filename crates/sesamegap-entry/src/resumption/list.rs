//! Reads the fleet list from the store for streams that are taken up while this VM is out of touch with the others.

use crate::core::Core;
use crate::follow;
use crate::ports::StoreError;
use crate::telemetry::events;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};
use tracing::info;

/// Time for which a caller's request waits for the list.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time between two readings; questions that come meanwhile wait for the next one.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// The readings of the list for streams that are taken up.
#[derive(Debug, Default)]
pub(super) struct ListReadings(tokio::sync::Mutex<Times>);

#[derive(Debug, Default)]
struct Times {
    /// When the last reading began.
    begun: Option<Instant>,
    /// When the last complete one began.
    as_of: Option<Instant>,
}

impl ListReadings {
    /// Reads the list up to now; returns whether that succeeded in time.
    pub(super) async fn read(&self, core: &Core) -> bool {
        let asked_at = Instant::now();
        let read = async {
            let mut times = self.0.lock().await;
            // A reading that began after this question has all that it needs.
            if times.as_of.is_some_and(|as_of| as_of >= asked_at) {
                return Ok(());
            }
            if let Some(begun) = times.begun {
                sleep_until(begun + READ_INTERVAL).await;
            }
            let began = Instant::now();
            times.begun = Some(began);
            follow::read_list(core).await?;
            times.as_of = Some(began);
            Ok::<_, StoreError>(())
        };
        match timeout(READ_TIMEOUT, read).await {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                info!(event = events::STREAM_LOG, %error, "the fleet list cannot be read for a stream that is taken up");
                false
            }
            Err(_) => {
                info!(
                    event = events::STREAM_LOG,
                    "the fleet list was not read in time for a stream that is taken up"
                );
                false
            }
        }
    }
}
