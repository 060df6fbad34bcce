package figdeck.daemon.command.batch

import figdeck.command.batch.GROUP_ITEMS
import figdeck.daemon.command.Services
import figdeck.store.Store
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val MAX_ITEMS_IN_FLIGHT = 256

/**
 * How batch work is paced on one host.
 *
 * @property maxItemsInFlight the most items that wait for a slot or run at once.
 * @property maxGroupItems the most items whose results are kept by one object and one transaction.
 * @property pollInterval how often a host with a free place looks for waiting segments.
 * @property cancelCheckInterval how often a host that runs segments asks which jobs were cancelled.
 * @property storeTimeout how long a write of the platform is tried again before it is given up.
 * @property initialBackoff the pause before the first repetition; each further one is twice as long, up to a limit.
 * @property sweepInterval how often a host clears what has outlived its use.
 * @property cancelNoticeRetention how long the notice of a cancelled job stays.
 */
public data class BatchTuning(
    public val maxItemsInFlight: Int = MAX_ITEMS_IN_FLIGHT,
    public val maxGroupItems: Int = GROUP_ITEMS,
    public val pollInterval: Duration = 1.seconds,
    public val cancelCheckInterval: Duration = 500.milliseconds,
    public val storeTimeout: Duration = 8.seconds,
    public val initialBackoff: Duration = 50.milliseconds,
    public val sweepInterval: Duration = 1.minutes,
    public val cancelNoticeRetention: Duration = 30.seconds,
)

/** What batch work needs of its daemon. */
public data class BatchServices(
    public val services: Services,
    public val platform: Store,
    public val tuning: BatchTuning = BatchTuning(),
)
