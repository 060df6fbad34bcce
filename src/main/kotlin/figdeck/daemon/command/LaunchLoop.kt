package figdeck.daemon.command

import figdeck.log.PartLog
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val RESTART_DELAY = 1.seconds
private val log = PartLog("loops")

/**
 * Runs the background [loop] called [name] until it returns or this scope is cancelled. If it fails, it is logged and
 * started again after [restartDelay]: a host without one of its loops would go on serving with outdated data. An [Error]
 * other than an overflow of the stack may have left anything half done; it goes to the handler of this scope (see
 * [fatalErrorHandler]).
 */
internal fun CoroutineScope.launchLoop(
    name: String,
    restartDelay: Duration = RESTART_DELAY,
    loop: suspend () -> Unit,
): Job = launch(CoroutineName(name)) {
    while (!runOnce(name, loop)) {
        delay(restartDelay)
    }
}

/** Runs [loop] and returns whether it ended without a failure. */
@Suppress("TooGenericExceptionCaught") // Whatever fails in a loop, the host needs the loop.
private suspend fun runOnce(name: String, loop: suspend () -> Unit): Boolean = try {
    loop()
    true
} catch (e: Exception) {
    // Only a cancellation of this scope ends the loop, not that of something it waited for.
    currentCoroutineContext().ensureActive()
    log.error(e) { "the loop '$name' failed and starts again" }
    false
} catch (e: StackOverflowError) {
    log.error(e) { "the loop '$name' ran out of stack and starts again" }
    false
}
