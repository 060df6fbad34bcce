package figdeck.command.journal

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val FLEET_GROUPS_PER_SECOND = 300
private val MIN_INTERVAL = 20.milliseconds
private val MAX_INTERVAL = 500.milliseconds

/** The time between two groups of one daemon that keeps a fleet of [hosts] within its share of the table's writes. */
public fun groupInterval(hosts: Int): Duration =
    (1.seconds * hosts / FLEET_GROUPS_PER_SECOND).coerceIn(MIN_INTERVAL, MAX_INTERVAL)
