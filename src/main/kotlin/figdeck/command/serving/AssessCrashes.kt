package figdeck.command.serving

import figdeck.model.Moment
import figdeck.model.UpstreamId
import figdeck.model.serving.CRASH_REPORT_RETENTION
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import figdeck.model.serving.KnownCrash
import figdeck.model.serving.PromptPart
import figdeck.model.serving.Quarantine
import figdeck.model.serving.RequestFingerprint
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration.Companion.seconds

/**
 * The number of requests with a part that must have lost their upstream before the part is quarantined. A crashing
 * upstream takes all requests with it that wait for their first event, so one or two losses prove nothing.
 */
private const val QUARANTINE_REQUESTS = 3

/** The number of losses that is enough without so many requests, such as those of one batch item that is repeated. */
private const val QUARANTINE_LOSSES = 5

/** The number of losses after which a request itself is quarantined, from whichever attempts of its caller. */
private const val QUARANTINE_REQUEST_LOSSES = 3

/** At a single start of an upstream, the upstream itself may be the cause. */
private const val QUARANTINE_STARTS = 2

/**
 * While upstreams crash for another reason too, a suspect that takes part in less than half of their losses may have
 * met them by chance. Several causes at the same time each take part in less, so this many losses are always enough.
 */
private const val LOSSES_BEYOND_CHANCE = 6

/** Losses of one upstream within this time are one crash of it. A crashed upstream is away for longer. */
private val SAME_CRASH = 2.seconds

/** How long after the latest loss a batch item may be sent all the same. The time doubles with each loss since. */
private val FIRST_TRIAL_DELAY = 15.seconds
private const val MAX_TRIAL_DOUBLINGS = 5

/** The newest reports are kept if there are more. */
private const val MAX_CRASHES = 1_000

/** Derives from the reports in [state] which suspects count as such and which are quarantined. */
internal fun assessCrashes(state: CrashRisks, now: Moment): CrashRisks {
    val crashes = state.crashes.entries.sortedByDescending { it.value.reportedAt.monotonicNanos }.take(MAX_CRASHES)
    val counted = crashes.map { it.value }.filter { now - it.reportedAt < CRASH_REPORT_RETENTION }
    val bySuspect = counted
        .flatMap { crash -> state.suspectsOf(crash).map { it to crash } }
        .groupBy({ (suspect, _) -> suspect }, { (_, crash) -> crash })
    return state.copy(
        crashes = if (crashes.size < state.crashes.size) {
            crashes.associate { it.key to it.value }.toPersistentMap()
        } else {
            state.crashes
        },
        suspected = bySuspect.filterValues { it.size > 1 }.keys,
        quarantined = bySuspect.mapNotNull { (suspect, losses) ->
            state.quarantineOf(suspect, losses, counted)?.let { suspect to it }
        }.toMap(),
    )
}

/** The suspects that [crash] still counts against. */
private fun CrashRisks.suspectsOf(crash: KnownCrash): List<CrashSuspect> = crash.report.suspects.filter { suspect ->
    val clearance = clearances[suspect]
    clearance == null || crash.version == null || crash.version > clearance.version
}

/**
 * The quarantine of [suspect] after [losses], which all count against it; null if too few do. These and [all] losses
 * are ordered, the latest first.
 */
private fun CrashRisks.quarantineOf(
    suspect: CrashSuspect,
    losses: List<KnownCrash>,
    all: List<KnownCrash>,
): Quarantine? {
    val enough = (QUARANTINE_STARTS..losses.size).asSequence().map { losses.take(it) }
        .firstOrNull { isEnough(suspect, it) && isBeyondChance(it, all) }
    val companions = losses.map { suspectsOf(it).toSet() - suspect }.reduce { all, next -> all intersect next }
    return enough?.let {
        val doublings = (losses.size - it.size).coerceAtMost(MAX_TRIAL_DOUBLINGS)
        Quarantine(
            until = it.last().reportedAt + CRASH_REPORT_RETENTION,
            companions = companions,
            trialFrom = losses.first().reportedAt + FIRST_TRIAL_DELAY * (1 shl doublings),
        )
    }
}

private fun isBeyondChance(losses: List<KnownCrash>, all: List<KnownCrash>): Boolean {
    val since = losses.last().reportedAt
    val crashes = all.takeWhile { it.reportedAt >= since }.distinctBy { it.upstreamCrash }.size
    return losses.size >= LOSSES_BEYOND_CHANCE || losses.distinctBy { it.upstreamCrash }.size * 2 >= crashes
}

/** Identifies one crash of an upstream among those of the same upstream. */
private data class UpstreamCrash(
    val upstream: UpstreamId,
    val period: Long,
)

private val KnownCrash.upstreamCrash: UpstreamCrash
    get() = UpstreamCrash(report.start.id, reportedAt.monotonicNanos / SAME_CRASH.inWholeNanoseconds)

/** The starts of upstreams in [losses]. One that a host of an earlier version doesn't tell may be any of them. */
private fun countStarts(losses: List<KnownCrash>): Int = losses
    .groupBy({ it.report.start.id }, { it.report.start.startedAtMillis })
    .values
    .sumOf { starts -> starts.filterNotNull().distinct().size.coerceAtLeast(1) }

private fun isEnough(suspect: CrashSuspect, losses: List<KnownCrash>): Boolean {
    return countStarts(losses) >= QUARANTINE_STARTS && when (suspect) {
        is RequestFingerprint -> losses.size >= QUARANTINE_REQUEST_LOSSES
        is PromptPart ->
            losses.distinctBy { it.report.request }.size >= QUARANTINE_REQUESTS || losses.size >= QUARANTINE_LOSSES
    }
}
