package figdeck.control

import figdeck.command.Step
import figdeck.model.Clock
import figdeck.model.Moment
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors
import kotlin.time.Duration

/**
 * The single control thread. Only this thread replaces the control state; all other threads read the immutable [snapshot]
 * and post commands with [run]. [onDelay] receives the time that each command waited for the thread.
 */
public class Control<S : Any>(
    initial: S,
    private val clock: Clock,
    private val onDelay: (Duration) -> Unit = {},
) : AutoCloseable {
    private val dispatcher = Executors.newSingleThreadExecutor { work ->
        Thread(work, "figdeck-control").apply { isDaemon = true }
    }.asCoroutineDispatcher()

    /** The state after the latest command. */
    @Volatile
    public var snapshot: S = initial
        private set

    /** Runs [command] on the control thread with the current time, and suspends until it has returned. */
    public suspend fun <R> run(command: (S, Moment) -> Step<S, R>): R {
        val posted = clock()
        return withContext(dispatcher) {
            val now = clock()
            onDelay(now - posted)
            val step = command(snapshot, now)
            snapshot = step.state
            step.result
        }
    }

    override fun close() {
        dispatcher.close()
    }
}
