package figdeck.query.serving

import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.model.serving.CallKind
import figdeck.model.serving.isRepeatable

private const val MAX_NOT_RUN_SENDS = 4

/** How the sending of a request to one upstream ended without a whole answer. */
public sealed interface FailedSend {
    /** The upstream it was sent to. */
    public val upstream: UpstreamId

    /** What happened. */
    public val reason: String

    /** The upstream did not run the request and never will. */
    public data class NotRun(
        override val upstream: UpstreamId,
        override val reason: String,
        public val cause: NotRunCause,
    ) : FailedSend

    /** The upstream may have run it. */
    public data class MayHaveRun(override val upstream: UpstreamId, override val reason: String) : FailedSend
}

/** Why an upstream did not run a request. */
public enum class NotRunCause {
    /** It had no place for it. */
    FULL,

    /** It could not be reached. */
    UNREACHABLE,

    /** Another upstream has its address. */
    REPLACED,
}

/**
 * What was done for a request so far.
 *
 * @property failures the sends that ended without a whole answer, in order.
 * @property hasStarted whether a part of the answer has gone to the caller.
 */
public data class SendHistory(
    public val failures: List<FailedSend> = emptyList(),
    public val hasStarted: Boolean = false,
)

/** The upstreams that failed. */
public val SendHistory.failedUpstreams: Set<UpstreamId> get() = failures.map { it.upstream }.toSet()

/** How often the request may have run. */
public val SendHistory.possibleRuns: Int get() = failures.count { it is FailedSend.MayHaveRun }

/** What follows for a request whose latest send failed. */
public sealed interface NextStep {
    /** Send it to another upstream. */
    public data object SendAgain : NextStep

    /** Give the caller its final answer. */
    public data class Refuse(public val refusal: Refusal) : NextStep

    /** The answer has begun and can't be finished: break the connection off. */
    public data class BreakOff(public val reason: String) : NextStep
}

/** Decides what follows after the latest failure in [history] of a request of [kind] with [maxAttempts]. */
public fun nextStep(kind: CallKind, maxAttempts: Int, history: SendHistory): NextStep {
    val last = history.failures.last()
    val mayRepeat = history.possibleRuns == 0 || kind.isRepeatable
    val notRunCount = history.failures.size - history.possibleRuns
    return when {
        mayRepeat && history.possibleRuns < maxAttempts && notRunCount < MAX_NOT_RUN_SENDS -> NextStep.SendAgain
        history.hasStarted -> NextStep.BreakOff(last.reason)
        history.possibleRuns == 0 -> NextStep.Refuse(Refusal.NoUpstream("this route"))
        else -> NextStep.Refuse(Refusal.UpstreamLost(last.upstream))
    }
}
