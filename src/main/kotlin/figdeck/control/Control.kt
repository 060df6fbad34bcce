package figdeck.control

import figdeck.command.Step
import figdeck.model.Clock
import figdeck.model.Moment
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors
import kotlin.time.Duration

/**
 * The one control thread. It alone replaces the control state; every other thread reads [snapshot], which is
 * immutable, and posts commands with [run]. Each command's wait for the thread is told to [onDelay].
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

    /** Runs [command] on the control thread at the present time and suspends until it has been decided. */
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
