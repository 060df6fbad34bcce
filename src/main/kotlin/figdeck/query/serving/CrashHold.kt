package figdeck.query.serving

import figdeck.model.HostId
import figdeck.model.Moment
import figdeck.model.hashToUnit
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The time over which hosts spread their trials. */
private val TRIAL_SPREAD = 10.seconds

/**
 * Why a request is not sent to upstreams.
 *
 * @property suspect what crashed several upstreams: a part of its prompt, or the request itself.
 * @property timeLeft how long it is held back.
 * @property companions the others of its suspects without which it would be sent.
 * @property trialFrom when a batch item with these suspects may be sent all the same; null if none may.
 */
public data class CrashHold(
    public val suspect: CrashSuspect,
    public val timeLeft: Duration,
    public val companions: Set<CrashSuspect> = emptySet(),
    public val trialFrom: Moment? = null,
)

/** Why a request with [suspects] is not sent to upstreams at [now]; null if it may be sent. */
public fun CrashRisks.holdOf(suspects: List<CrashSuspect>, now: Moment): CrashHold? {
    if (quarantined.isEmpty()) return null
    val holding = suspects.mapNotNull { suspect ->
        quarantined[suspect]
            ?.takeIf { it.until > now && suspects.containsAll(it.companions) }
            ?.let { suspect to it }
    }
    return holding.firstOrNull()?.let { (suspect, first) ->
        val trialFrom = holding.map { (_, quarantine) -> quarantine.trialFrom }.maxBy { it.monotonicNanos }
        CrashHold(suspect, first.until - now, first.companions, trialFrom)
    }
}

/**
 * When [host] may send an item in spite of this hold. Hosts do so at different times: the first of them clears the
 * item's suspects, or reports another loss, before the others do.
 */
public fun CrashHold.trialAt(host: HostId): Moment? =
    trialFrom?.let { it + TRIAL_SPREAD * hashToUnit(host, suspect.id) }
