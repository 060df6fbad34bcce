package figdeck.http.server

import figdeck.http.READ_GRACE
import io.netty.channel.ChannelFuture
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** What a part of a response takes beside its bytes: the encoder makes three buffers of a chunk. */
private const val PART_OVERHEAD_BYTES = 512L

/** The memory of one listener for the parts of responses that the connections of their readers have not taken. */
internal class ResponseMemory(private val room: ResponseRoom) {
    private val lock = Any()

    /** The bytes that are held now. Written under [lock]. */
    @Volatile
    var heldBytes: Long = 0
        private set

    /** How many limits [heldBytes] exceeds. Only a change of it wakes the stopped responses. */
    private val exceededLimits = MutableStateFlow(room.exceededLimits(0))

    fun newShare(): Share = Share()

    private fun change(bytes: Long) = synchronized(lock) {
        heldBytes += bytes
        exceededLimits.value = room.exceededLimits(heldBytes)
    }

    /** The memory of one response. Its parts are released as they are written, or as the connection closes. */
    inner class Share {
        private val use = MutableStateFlow(ShareUse(own = 0, taken = 0))

        /** When the response was stopped first since its reader last took something; null if it never was. */
        private var stop: Stop? = null

        val unread: UnreadBytes get() = UnreadBytes(use.value.own, heldBytes)

        /** Counts the [bytes] that [written] stands for until they are written. Most are written at once. */
        fun hold(written: ChannelFuture, bytes: Int) {
            if (written.isDone) return
            val held = bytes + PART_OVERHEAD_BYTES
            use.update { it.copy(own = it.own + held) }
            change(held)
            written.addListener {
                use.update { ShareUse(it.own - held, it.taken + held) }
                change(-held)
            }
        }

        /**
         * Waits until more may be sent. Returns false if the response was stopped for too long while its reader took
         * too little. Memory that others free lets it continue, but gives a reader that takes nothing no more time.
         */
        suspend fun awaitRoom(): Boolean = room.hasRoom(unread) || awaitResume()

        private suspend fun awaitResume(): Boolean {
            var mayResume = false
            var isReading = true
            while (isReading && !mayResume) {
                val current = currentStop()
                val left = room.stallTimeout - current.since.elapsedNow()
                val hasTime = left > Duration.ZERO
                // Without time left, only what its reader takes within the grace lets the response go on.
                val progress = if (hasTime) room.progressBytes else 1
                isReading = within(left, merge(use, exceededLimits)) {
                    mayResume = hasTime && room.mayResume(unread)
                    mayResume || use.value.taken - current.taken >= progress
                }
            }
            return mayResume
        }

        private fun currentStop(): Stop {
            val takenNow = use.value.taken
            val current = stop?.takeIf { it.taken == takenNow } ?: Stop(TimeSource.Monotonic.markNow(), takenNow)
            stop = current
            return current
        }

        /** Waits until everything is written. Returns false if the reader stalled, or was not done within [limit]. */
        suspend fun awaitEmpty(limit: Duration): Boolean = use.value.own == 0L ||
            withTimeoutOrNull(limit) {
                var isReading = true
                while (isReading && use.value.own > 0) {
                    val before = use.value.own
                    isReading = within(room.stallTimeout, use) { use.value.own < before }
                }
                isReading
            } == true

        private suspend fun within(limit: Duration, changes: Flow<Any>, condition: () -> Boolean): Boolean =
            withTimeoutOrNull(limit) { changes.first { condition() } } != null ||
                // After this process was stopped for a while, the time-out is due before the connections are looked at.
                withTimeoutOrNull(READ_GRACE) { changes.first { condition() } } != null
    }

    /** The bytes of one response: [own] are held, [taken] were held and then taken by its reader. */
    private data class ShareUse(
        val own: Long,
        val taken: Long,
    )

    /** A stop of a response at the time [since], when its reader had taken [taken] bytes of what waited for it. */
    private data class Stop(
        val since: TimeMark,
        val taken: Long,
    )
}
