package figdeck.query.serving

import figdeck.model.Moment
import figdeck.model.serving.CrashRisks
import figdeck.model.serving.PromptPart
import kotlin.time.Duration

/**
 * Why a prompt is not sent to upstreams.
 *
 * @property part its part that crashed several upstreams.
 * @property timeLeft how long the part is held back.
 */
public data class CrashHold(
    public val part: PromptPart,
    public val timeLeft: Duration,
)

/** Why a prompt with [parts] is not sent to upstreams at [now]; null if it may be sent. */
public fun CrashRisks.holdOf(parts: List<PromptPart>, now: Moment): CrashHold? {
    if (quarantined.isEmpty()) return null
    return parts.firstNotNullOfOrNull { part ->
        quarantined[part]
            ?.takeIf { it.until > now && parts.containsAll(it.companions) }
            ?.let { CrashHold(part, it.until - now) }
    }
}
