package figdeck.daemon.command.serving

import arrow.core.Either
import arrow.core.left
import figdeck.command.serving.fitsInFlight
import figdeck.http.client.ExchangeFailure
import figdeck.model.Upstream
import figdeck.model.UpstreamId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/** The longest wait for other bodies, beside which a body would be too much for its upstream. */
private val MAX_WAIT = 500.milliseconds

/** The bytes of the bodies that this host has sent to each upstream and whose exchanges have not ended. */
internal class BodiesInFlight {
    private val bytesAt = MutableStateFlow<PersistentMap<UpstreamId, Long>>(persistentMapOf())

    /** Runs [send] once its upstream may get [body] beside the others. Without room in time, nothing is sent. */
    suspend fun <R> withRoom(
        options: SendOptions,
        body: ByteArray,
        send: suspend () -> Either<ExchangeFailure, R>,
    ): Either<ExchangeFailure, R> {
        if (body.isEmpty()) return send()
        var isAdded = tryAdd(options.upstream, body)
        return try {
            if (!isAdded && fitsInFlight(options.upstream, body.size.toLong(), inFlight = 0)) {
                withTimeoutOrNull(minOf(options.headTimeout / 2, MAX_WAIT)) {
                    bytesAt.first {
                        isAdded = tryAdd(options.upstream, body)
                        isAdded
                    }
                }
            }
            if (isAdded) send() else noRoom(options.upstream, body).left()
        } finally {
            if (isAdded) remove(options.upstream.id, body)
        }
    }

    private fun noRoom(upstream: Upstream, body: ByteArray) = ExchangeFailure.NotSent(
        "the bodies in flight to ${upstream.id} leave no room for ${body.size} bytes",
        isPeerAtFault = false,
    )

    /** Adds [body] and returns true, or returns false if there is no room. */
    private fun tryAdd(upstream: Upstream, body: ByteArray): Boolean {
        while (true) {
            val now = bytesAt.value
            val inFlight = now[upstream.id] ?: 0
            if (!fitsInFlight(upstream, body.size.toLong(), inFlight)) return false
            if (bytesAt.compareAndSet(now, now.put(upstream.id, inFlight + body.size))) return true
        }
    }

    private fun remove(id: UpstreamId, body: ByteArray) = bytesAt.update { now ->
        val left = (now[id] ?: 0) - body.size
        if (left > 0) now.put(id, left) else now.remove(id)
    }
}
