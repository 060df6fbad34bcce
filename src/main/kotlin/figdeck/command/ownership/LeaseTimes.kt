package figdeck.command.ownership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The durations by which hosts hold and claim.
 *
 * @property lease how long a renewal holds, from the moment it was sent; two renewals in a row may fail.
 * @property renewal the time between two renewals.
 * @property margin what a claimant waits beyond the lease, for clocks whose speeds differ by up to 2 %.
 * @property scan the time between two scans of the host rows.
 * @property shardScan the longest time between two scans of the shard rows while nothing changes.
 * @property maxLease how long a host that isn't a guardian waits, and the most that guardians can extend a lease to.
 */
public data class LeaseTimes(
    public val lease: Duration = 3_500.milliseconds,
    public val renewal: Duration = 1.seconds,
    public val margin: Duration = 100.milliseconds,
    public val scan: Duration = 1.seconds,
    public val shardScan: Duration = 5.minutes,
    public val maxLease: Duration = 15.minutes,
)
