package figdeck.http.server

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * What the connections of one listener share.
 *
 * @property activeCalls the number of calls that are being answered.
 * @property draining whether every response asks its peer to close the connection.
 */
internal data class ListenerState(
    val activeCalls: AtomicInteger,
    val draining: AtomicBoolean,
)
