package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.serving.isOpen
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The time between two samples. A row is kept at most that much longer than necessary. */
private val SAMPLE_INTERVAL = 5.seconds

/** The newest version of the store at the moment [at]. */
public data class VersionSample(
    public val version: Long,
    public val at: Moment,
)

/**
 * How the versions of the store have grown while this host watched. They tell how long ago a row was written by the
 * monotonic clock of this host alone: the times in records are wall-clock times of other hosts, which may be wrong.
 *
 * @property samples the latest samples, the oldest in front.
 */
public data class VersionHistory(public val samples: PersistentList<VersionSample>)

/** The history of a host that has seen no version. */
public val noVersionHistory: VersionHistory = VersionHistory(persistentListOf())

/** Adds the [version] that the store had at [now]. Of the samples older than [retention] only the newest is needed. */
public fun VersionHistory.observe(version: Long, retention: Duration, now: Moment): VersionHistory {
    val latest = samples.lastOrNull()
    return if (latest != null && now - latest.at < SAMPLE_INTERVAL) {
        this
    } else {
        val obsolete = samples.count { now - it.at >= retention } - 1
        VersionHistory(samples.drop(obsolete.coerceAtLeast(0)).toPersistentList().add(VersionSample(version, now)))
    }
}

/** The version up to which rows were written at least [retention] ago; null if this host hasn't watched that long. */
public fun VersionHistory.versionBefore(retention: Duration, now: Moment): Long? =
    samples.lastOrNull { now - it.at >= retention }?.version

/** Whether nobody may ask for [job] any more: it was closed, and its record has not changed for [retention]. */
public fun VersionHistory.isExpired(job: VersionedJob, retention: Duration, now: Moment): Boolean {
    val before = versionBefore(retention, now)
    return !job.record.isOpen && before != null && job.version <= before
}
