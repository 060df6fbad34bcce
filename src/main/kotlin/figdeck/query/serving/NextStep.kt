package figdeck.query.serving

import figdeck.model.Refusal
import figdeck.model.UpstreamId
import figdeck.model.serving.CallKind
import figdeck.model.serving.WeightsVersion
import figdeck.model.serving.isRepeatable

private const val MAX_NOT_RUN_SENDS = 4

/** A send of a request to one upstream that ended without a complete answer. */
public sealed interface FailedSend {
    /** The upstream that the request was sent to. */
    public val upstream: UpstreamId

    /** A description of the failure. */
    public val reason: String

    /** The upstream did not run the request and never will. */
    public data class NotRun(
        override val upstream: UpstreamId,
        override val reason: String,
        public val cause: NotRunCause,
    ) : FailedSend

    /** The upstream may have run the request. */
    public data class MayHaveRun(
        override val upstream: UpstreamId,
        override val reason: String,
        public val ending: SendEnding = SendEnding.OTHER,
    ) : FailedSend
}

/** How a send ended after which the request may have run. */
public enum class SendEnding {
    /** The connection ended before the upstream began its answer. */
    LOST_BEFORE_ANSWER,

    /** The connection ended within the answer. */
    LOST_IN_ANSWER,

    /** The upstream was too slow, or what it answered is of no use. */
    OTHER,
}

/** Why an upstream did not run a request. */
public enum class NotRunCause {
    /** The upstream had no free slot. */
    FULL,

    /** The upstream was unreachable. */
    UNREACHABLE,

    /** Another upstream now has its address. */
    REPLACED,

    /** The upstream has other weights than the request asks for. */
    OTHER_WEIGHTS,
}

/** This cause, as metrics and logs name it. */
internal val NotRunCause.label: String get() = "not_run_${name.lowercase()}"

/** How this send ended, as metrics and logs name it. */
internal val FailedSend.label: String
    get() = when (this) {
        is FailedSend.MayHaveRun -> ending.name.lowercase()
        is FailedSend.NotRun -> cause.label
    }

/**
 * The sends of a request so far.
 *
 * @property failures the sends that ended without a complete answer, in order.
 * @property hasStarted whether the caller has received a part of the answer.
 */
public data class SendHistory(
    public val failures: List<FailedSend> = emptyList(),
    public val hasStarted: Boolean = false,
)

/** The upstreams of the failed sends. */
public val SendHistory.failedUpstreams: Set<UpstreamId> get() = failures.map { it.upstream }.toSet()

/** The number of sends after which the request may have run. */
public val SendHistory.possibleRuns: Int get() = failures.count { it is FailedSend.MayHaveRun }

/** What to do with a request whose latest send failed. */
public sealed interface NextStep {
    /** Send it to another upstream. */
    public data object SendAgain : NextStep

    /** Refuse the request with [refusal]. */
    public data class Refuse(public val refusal: Refusal) : NextStep

    /** Close the connection, because a part of the answer was sent and the rest can't be. */
    public data class BreakOff(public val reason: String) : NextStep
}

/**
 * Decides what to do after the latest failure in [history] of a request of [kind] with at most [maxAttempts] runs. The
 * request asks for the weights [expectedWeights]; null for any.
 */
public fun nextStep(
    kind: CallKind,
    maxAttempts: Int,
    history: SendHistory,
    expectedWeights: WeightsVersion? = null,
): NextStep {
    val last = history.failures.last()
    val mayRepeat = history.possibleRuns == 0 || kind.isRepeatable
    val notRunCount = history.failures.size - history.possibleRuns
    return when {
        mayRepeat && history.possibleRuns < maxAttempts && notRunCount < MAX_NOT_RUN_SENDS -> NextStep.SendAgain
        history.hasStarted -> NextStep.BreakOff(last.reason)
        history.possibleRuns == 0 -> NextStep.Refuse(refusalAfter(last, expectedWeights))
        else -> NextStep.Refuse(Refusal.UpstreamLost(last.upstream))
    }
}

private fun refusalAfter(last: FailedSend, expectedWeights: WeightsVersion?): Refusal {
    val hasOtherWeights = last is FailedSend.NotRun && last.cause == NotRunCause.OTHER_WEIGHTS
    return if (hasOtherWeights && expectedWeights != null) {
        Refusal.WeightsUnavailable(expectedWeights)
    } else {
        Refusal.NoUpstream("this route")
    }
}
