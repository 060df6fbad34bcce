package figdeck.daemon.query

import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.control.recordLeavingUpstreams
import figdeck.model.CallResult
import figdeck.store.query.StoreQueries
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val HOSTS_INTERVAL = 1.seconds

/** Keeps the set of leaving upstreams at what the platform's hosts list says, until cancelled. */
internal suspend fun followHosts(
    queries: StoreQueries,
    control: Control<ControlState>,
    interval: Duration = HOSTS_INTERVAL,
) {
    while (true) {
        val listed = queries.listHosts()
        if (listed is CallResult.Done) {
            control.run { state, _ -> recordLeavingUpstreams(state, listed.value) }
        }
        delay(interval)
    }
}
