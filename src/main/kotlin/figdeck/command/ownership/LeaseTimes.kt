package figdeck.command.ownership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The durations that govern leases and shard ownership.
 *
 * @property lease how long a lease is valid after its renewal was sent; two renewals in a row may fail.
 * @property renewal the time between two renewals.
 * @property margin how long other hosts wait beyond the lease, for clocks whose speeds differ by up to 2 %.
 * @property scan the time between two scans of the host rows.
 * @property shardScan the maximum time between two scans of the shard rows while nothing changes.
 * @property maxLease how long a host that isn't a guardian waits, and the limit to which guardians can extend a lease.
 */
public data class LeaseTimes(
    public val lease: Duration = 3_500.milliseconds,
    public val renewal: Duration = 1.seconds,
    public val margin: Duration = 100.milliseconds,
    public val scan: Duration = 1.seconds,
    public val shardScan: Duration = 5.minutes,
    public val maxLease: Duration = 15.minutes,
)
