package figdeck.daemon.query

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.recordLeavingUpstreams
import figdeck.model.CallResult
import figdeck.store.query.StoreQueries
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val HOSTS_POLL_INTERVAL = 1.seconds

/** Updates the set of leaving upstreams from the platform's list of hosts at intervals, until cancelled. */
internal suspend fun pollLeavingHosts(
    queries: StoreQueries,
    control: Control<ControlState>,
    interval: Duration = HOSTS_POLL_INTERVAL,
) {
    while (true) {
        val hostList = queries.listHosts()
        if (hostList is CallResult.Done) {
            control.run { state, _ -> recordLeavingUpstreams(state, hostList.value) }
        }
        delay(interval)
    }
}
