package figdeck.http

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long a due time-out still waits for bytes. After this process was stopped for a while, its timers are due before
 * it has read what arrived meanwhile; that silence was its own, not that of the peer.
 */
internal val READ_GRACE: Duration = 50.milliseconds
