package figdeck.http.server

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * The state that the connections of one listener share.
 *
 * @property activeCalls the number of calls in progress.
 * @property draining whether every response carries `Connection: close`.
 * @property refusing whether new requests are refused before they reach the handler.
 */
internal data class ListenerState(
    val activeCalls: AtomicInteger,
    val draining: AtomicBoolean,
    val refusing: AtomicBoolean,
) {
    /** Counts a new call, unless the listener refuses it. Counting first lets no call slip past a drain. */
    fun tryBeginCall(): Boolean {
        activeCalls.incrementAndGet()
        val refused = refusing.get()
        if (refused) endCall()
        return !refused
    }

    /** Counts the end of a call. */
    fun endCall() {
        activeCalls.decrementAndGet()
    }
}
