package figdeck.query.serving

import figdeck.model.Moment
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.CrashSuspect
import kotlin.time.Duration

/**
 * Why a request is not sent to upstreams.
 *
 * @property suspect what crashed several upstreams: a part of its prompt, or the request itself.
 * @property timeLeft how long it is held back.
 * @property companions the others of its suspects without which it would be sent.
 */
public data class CrashHold(
    public val suspect: CrashSuspect,
    public val timeLeft: Duration,
    public val companions: Set<CrashSuspect> = emptySet(),
)

/** Why a request with [suspects] is not sent to upstreams at [now]; null if it may be sent. */
public fun CrashRisks.holdOf(suspects: List<CrashSuspect>, now: Moment): CrashHold? {
    if (quarantined.isEmpty()) return null
    return suspects.firstNotNullOfOrNull { suspect ->
        quarantined[suspect]
            ?.takeIf { it.until > now && suspects.containsAll(it.companions) }
            ?.let { CrashHold(suspect, it.until - now, it.companions) }
    }
}
