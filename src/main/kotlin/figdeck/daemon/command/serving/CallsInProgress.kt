package figdeck.daemon.command.serving

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import java.util.concurrent.ConcurrentHashMap

/** The planned stop of this host ended a call. */
internal class CallEndedException : CancellationException("this host is stopping")

/** The calls that this host is serving, which the end of a planned stop ends together. All threads may use it. */
internal class CallsInProgress {
    private val jobs = ConcurrentHashMap.newKeySet<Job>()

    /** Runs [serve], which throws [CallEndedException] if [endAll] ends it. The coroutine must be this call's own. */
    suspend fun <R> track(serve: suspend () -> R): R {
        val job = currentCoroutineContext().job
        jobs += job
        return try {
            serve()
        } finally {
            jobs -= job
        }
    }

    /** Ends all calls that are tracked at this moment. */
    fun endAll() {
        jobs.forEach { it.cancel(CallEndedException()) }
    }
}
