package figdeck.daemon.command.serving

import figdeck.model.Moment
import figdeck.model.serving.ServingPlan
import figdeck.model.serving.SlotRequest
import figdeck.model.serving.SlotUsage
import figdeck.query.serving.tokensPerEvent
import kotlin.time.Duration

/**
 * Measures the stream of one upstream in one slot.
 *
 * @param sentAt when the request was sent.
 * @param isResumed whether the stream continues one that another upstream began. Its output is never whole.
 */
internal class SlotUsageMeter(
    private val sentAt: Moment,
    private val isResumed: Boolean,
) {
    private var events = 0
    private var firstEventAt: Moment? = null
    private var lastEventAt: Moment? = null
    private var hasEnded = false
    private var hasNotRun = false

    /** Records [count] events that arrived at [now]. */
    fun onEvents(count: Int, now: Moment) {
        if (count > 0) {
            events += count
            firstEventAt = firstEventAt ?: now
            lastEventAt = now
        }
    }

    /** Records that the stream has ended and is complete. */
    fun onComplete() {
        hasEnded = true
    }

    /** Records that the upstream did not run the request. */
    fun onNotRun() {
        hasNotRun = true
    }

    /**
     * What was seen so far; null if the upstream did not run the request. The last event may have fewer tokens than
     * [tokensPerEvent], so that the output counts as no longer than [maxOutputTokens].
     */
    fun usage(tokensPerEvent: Int, maxOutputTokens: Int): SlotUsage? {
        val first = firstEventAt
        val last = lastEventAt
        return SlotUsage(
            outputTokens = (events.toLong() * tokensPerEvent).coerceAtMost(maxOutputTokens.toLong()).toInt(),
            timeToFirstEvent = first?.let { it - sentAt },
            streamingTime = if (first != null && last != null) last - first else Duration.ZERO,
            isWhole = hasEnded && !isResumed && events > 0,
        ).takeUnless { hasNotRun }
    }
}

/** What was seen of [request], in tokens by [plan]; null if it tells nothing about its work, as for a plain service. */
internal fun SlotUsageMeter.usageOf(request: SlotRequest, plan: ServingPlan?): SlotUsage? =
    request.features?.let { usage(plan.tokensPerEvent(request.pool), it.maxOutputTokens) }
