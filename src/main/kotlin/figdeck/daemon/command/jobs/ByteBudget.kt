package figdeck.daemon.command.jobs

import figdeck.command.serving.fitsInMemory
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Admits work in the order of its arrival, as long as all of it takes at most [limit] bytes. */
internal class ByteBudget(private val limit: Long) {
    private val used = MutableStateFlow(0L)
    private val turn = Mutex()

    /** The bytes that are reserved now. */
    val usedBytes: Long get() = used.value

    /** Runs [block] once [bytes] are reserved for it, and frees them when it ends. */
    suspend fun <R> withBytes(bytes: Long, block: suspend (Reservation) -> R): R {
        reserve(bytes)
        val reservation = Reservation(bytes)
        try {
            return block(reservation)
        } finally {
            reservation.resize(0)
        }
    }

    /** Runs [block] like [withBytes], or returns null if [bytes] can't be reserved within [wait]. */
    suspend fun <R : Any> withBytesWithin(wait: Duration, bytes: Long, block: suspend (Reservation) -> R): R? {
        // The time may be over, or the caller gone, just after the bytes are reserved.
        var reservation: Reservation? = null
        try {
            withTimeoutOrNull(wait) {
                reserve(bytes) { reservation = Reservation(bytes) }
            }
            return reservation?.let { block(it) }
        } finally {
            reservation?.resize(0)
        }
    }

    private suspend fun reserve(bytes: Long, onReserved: () -> Unit = {}) = turn.withLock {
        // Others reserve nothing meanwhile, but for a little that a resize adds.
        used.first { fitsInMemory(it, bytes, limit) }
        used.update { it + bytes }
        onReserved()
    }

    /** Bytes that are reserved for one piece of work. */
    inner class Reservation(bytes: Long) {
        private val reserved = AtomicLong(bytes)

        /** Changes the reservation to [actual] bytes, once they are known. */
        fun resize(actual: Long) {
            val change = actual - reserved.getAndSet(actual)
            used.update { it + change }
        }

        /** Frees [bytes] of the reservation. */
        fun shrink(bytes: Long) {
            reserved.addAndGet(-bytes)
            used.update { it - bytes }
        }
    }
}
