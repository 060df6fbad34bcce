package figdeck.daemon.command

import figdeck.log.PartLog
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job

private val log = PartLog("loops")

/** Ends what depends on the background work of the given name, in which the given error was thrown. */
internal typealias OnFatal = (String, Throwable) -> Unit

/** Starts the background loop of the given name. */
internal typealias StartLoop = (String, suspend () -> Unit) -> Job

/**
 * How the background loops of a daemon run.
 *
 * @property onFatal is called when background work ends with an [Error] that does not start it again.
 * @property run runs the loop of the given name.
 */
internal data class LoopSupervision(
    val onFatal: OnFatal,
    val run: suspend (String, suspend () -> Unit) -> Unit = { _, loop -> loop() },
)

/** Returns a function that starts loops in [scope]. */
internal fun LoopSupervision.startIn(scope: CoroutineScope): StartLoop =
    { name, loop -> scope.launchLoop(name) { run(name, loop) } }

/**
 * Handles what background work fails with: an [Error] is passed to [onFatal], since nobody waits for the work and the
 * host would keep its lease without it; an exception of work that runs once is logged.
 */
internal fun fatalErrorHandler(onFatal: OnFatal): CoroutineExceptionHandler =
    CoroutineExceptionHandler { context, failure ->
        val name = context[CoroutineName]?.name ?: "unnamed work"
        if (failure is Error) onFatal(name, failure) else log.error(failure) { "'$name' failed" }
    }
