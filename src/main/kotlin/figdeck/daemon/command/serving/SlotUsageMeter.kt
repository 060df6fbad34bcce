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
    private var streamingTime = Duration.ZERO

    /** The time since the first event in which nothing was read of the stream. */
    private var unreadTime = Duration.ZERO
    private var hasEnded = false
    private var hasNotRun = false

    /** Records [count] events that arrived at [now]. */
    fun onEvents(count: Int, now: Moment) {
        if (count > 0) {
            events += count
            val first = firstEventAt ?: now
            firstEventAt = first
            streamingTime = now - first - unreadTime
        }
    }

    /** Excludes [duration], in which the stream was not read because its caller was not ready, from its pace. */
    fun exclude(duration: Duration) {
        if (firstEventAt != null) unreadTime += duration
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
        return SlotUsage(
            outputTokens = (events.toLong() * tokensPerEvent).coerceAtMost(maxOutputTokens.toLong()).toInt(),
            timeToFirstEvent = firstEventAt?.let { it - sentAt },
            streamingTime = streamingTime,
            isWhole = hasEnded && !isResumed && events > 0,
        ).takeUnless { hasNotRun }
    }
}

/** What was seen of [request], in tokens by [plan]; null if it tells nothing about its work, as for a plain service. */
internal fun SlotUsageMeter.usageOf(request: SlotRequest, plan: ServingPlan?): SlotUsage? =
    request.features?.let { usage(plan.tokensPerEvent(request.pool), it.maxOutputTokens) }
