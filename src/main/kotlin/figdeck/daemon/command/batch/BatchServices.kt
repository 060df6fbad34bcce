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
 * Limits, intervals and timeouts of batch work on one host.
 *
 * @property maxItemsInFlight the maximum number of items that wait for a slot or run at once.
 * @property maxGroupItems the maximum number of items whose results one object and one transaction store.
 * @property pollInterval how often a host that can run more segments looks for waiting ones.
 * @property cancelCheckInterval how often a host that runs segments reads which jobs were cancelled.
 * @property storeTimeout how long a failed call to the platform is retried.
 * @property initialBackoff the delay before the first retry; each further delay doubles, up to a limit.
 * @property sweepInterval how often a host deletes cancel notices and the jobs past their retention.
 * @property cancelNoticeRetention how long the notice of a cancelled job is kept, so that every host reads it.
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

/** The services of the daemon and the platform that batch work uses. */
public data class BatchServices(
    public val services: Services,
    public val platform: Store,
    public val tuning: BatchTuning = BatchTuning(),
)
