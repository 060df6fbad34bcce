package figdeck.daemon.command.serving

import figdeck.command.serving.recordRunning
import figdeck.control.Control
import figdeck.control.serving.ServingState
import figdeck.control.serving.updatePools
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Short enough that a busy host isn't taken for one that did not run. */
private val CHECK_INTERVAL = 100.milliseconds

/** Drops missing upstreams in time and keeps track of the time in which this host runs, until cancelled. */
internal suspend fun Control<ServingState>.maintainPools() {
    while (true) {
        run { state, now -> updatePools(state) { recordRunning(it, now) } }
        delay(CHECK_INTERVAL)
    }
}
