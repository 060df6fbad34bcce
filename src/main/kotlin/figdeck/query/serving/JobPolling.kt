package figdeck.query.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The number of reads per second that the whole fleet spends on changes of jobs while jobs run. */
private const val FLEET_READS_PER_SECOND = 100
private val MIN_INTERVAL = 150.milliseconds

/** Results that one host has shown must be readable at each other host within a second, a slow read included. */
private val MAX_INTERVAL = 400.milliseconds

/**
 * The minimum time between two reads of the job table by one of [members] hosts. While jobs run, the table changes
 * continuously, and each host reads each change. Large fleets read less often, several changes at a time.
 */
public fun jobPollInterval(members: Int): Duration =
    (1.seconds * members / FLEET_READS_PER_SECOND).coerceIn(MIN_INTERVAL, MAX_INTERVAL)
