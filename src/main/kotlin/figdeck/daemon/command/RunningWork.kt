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
 * A request that runs independently of its caller, and its progress.
 *
 * @property id the id of the request, unless it turns out to be a resend.
 * @property accepted the id under which the request runs, or the reason why it was refused.
 * @property deltas the pieces of a chat answer as they arrive. The channel is closed if the caller reads too slowly.
 */
public class RunningWork<T> internal constructor(
    public val id: RequestId,
    public val accepted: Deferred<Either<Refusal, RequestId>>,
    public val deltas: ReceiveChannel<String>,
    public val result: Deferred<Either<Refusal, T>>,
)

/** Waits for the acceptance of the work. Returns [Refusal.InDoubt] if it is unknown after [ACCEPTANCE_TIMEOUT]. */
public suspend fun RunningWork<*>.awaitAcceptance(): Either<Refusal, RequestId> =
    withTimeoutOrNull(ACCEPTANCE_TIMEOUT) { accepted.await() } ?: Refusal.InDoubt(id).left()

/** Waits for the result. Returns [Refusal.StillRunning] if the work has not ended after [ONLINE_DEADLINE]. */
public suspend fun <T> RunningWork<T>.awaitResult(): Either<Refusal, T> =
    withTimeoutOrNull(ONLINE_DEADLINE) { result.await() } ?: Refusal.StillRunning(id).left()

/**
 * Starts work under a new id. The work is a child of the daemon's own scope, so that it does not end with its caller,
 * and uses the caller's coroutine context otherwise.
 */
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

/**
 * Sends [delta] to the caller unless the caller is gone. Closes the channel if the caller does not read for
 * [SLOW_CALLER_TIMEOUT], so that a slow caller does not hold the engine's slot.
 */
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
 * Receives the progress of work.
 *
 * @property accepted is called once, before the work runs.
 * @property delta is called with each piece of the answer, in order and once.
 */
internal data class WorkSink(
    val accepted: (Either<Refusal, RequestId>) -> Unit,
    val delta: suspend (String) -> Unit,
)
