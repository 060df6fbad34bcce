package figdeck.daemon.command

import arrow.core.Either
import arrow.core.left
import figdeck.model.Refusal
import figdeck.model.RequestId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration.Companion.seconds

private const val DELTA_BUFFER_CAPACITY = 256
private val SLOW_CALLER_TIMEOUT = 2.seconds

/** How long a caller waits to learn whether its request was accepted. */
private val ACCEPTANCE_TIMEOUT = 10.seconds

/**
 * A request that goes on by itself, as its caller may follow it.
 *
 * @property id names it, unless it turns out to be a resend.
 * @property accepted tells under which id it runs, or why it doesn't.
 * @property deltas the pieces of a chat answer as they come; a caller that is too slow loses them.
 */
public class RunningWork<T> internal constructor(
    public val id: RequestId,
    public val accepted: Deferred<Either<Refusal, RequestId>>,
    public val deltas: ReceiveChannel<String>,
    public val result: Deferred<Either<Refusal, T>>,
)

/** Whether the work was accepted, or that this can't be told yet. */
public suspend fun RunningWork<*>.awaitAcceptance(): Either<Refusal, RequestId> =
    withTimeoutOrNull(ACCEPTANCE_TIMEOUT) { accepted.await() } ?: Refusal.InDoubt(id).left()

/** The result, or that the work still runs. */
public suspend fun <T> RunningWork<T>.awaitResult(): Either<Refusal, T> =
    withTimeoutOrNull(ONLINE_DEADLINE) { result.await() } ?: Refusal.StillRunning(id).left()

/** Starts work under a new id: a child of the daemon's own scope, in the caller's context otherwise. */
internal suspend fun <T> Services.start(run: suspend (RequestId, WorkSink) -> Either<Refusal, T>): RunningWork<T> {
    val id = newRequestId()
    val accepted = CompletableDeferred<Either<Refusal, RequestId>>()
    val deltas = Channel<String>(DELTA_BUFFER_CAPACITY)
    val sink = WorkSink({ accepted.complete(it) }, { sendDelta(deltas, it) })
    val result = work.async(coroutineContext.minusKey(Job)) {
        try {
            run(id, sink)
        } finally {
            deltas.close()
        }
    }
    return RunningWork(id, accepted, deltas, result)
}

/** Passes [delta] on unless the caller is gone; a slow one is cut off, so that the engine's slot comes free. */
private suspend fun sendDelta(deltas: Channel<String>, delta: String) {
    val sent = deltas.trySend(delta)
    if (sent.isFailure && !sent.isClosed) {
        val delivered = withTimeoutOrNull(SLOW_CALLER_TIMEOUT) { runCatching { deltas.send(delta) } }
        if (delivered == null) {
            deltas.close(IOException("the caller reads too slowly"))
        }
    }
}

/**
 * Where the progress of work goes.
 *
 * @property accepted is called once, before anything runs.
 * @property delta is called with each piece of the answer, in order and once.
 */
internal data class WorkSink(
    val accepted: (Either<Refusal, RequestId>) -> Unit,
    val delta: suspend (String) -> Unit,
)
