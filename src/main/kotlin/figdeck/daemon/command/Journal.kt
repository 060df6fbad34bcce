package figdeck.daemon.command

import arrow.core.Either
import figdeck.model.Intent
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.RowCheck

/**
 * Stores accepted requests and their outcomes durably.
 *
 * @property accept returns once it is known whether the request was accepted.
 * @property recordIntent returns once the intent to send a call that must not be repeated is durable.
 * @property finish returns once the outcome is durable, or after a timeout.
 * @property finishRecovered records the outcome of a recovered request, from a previous epoch or from a journal that
 * was taken over, if the [RowCheck] that fences it holds.
 */
public data class Journal(
    public val accept: suspend (RequestRecord) -> Acceptance,
    public val recordIntent: suspend (RequestRecord, Intent) -> Either<Refusal, Unit>,
    public val finish: suspend (RequestRecord) -> FinishResult,
    public val finishRecovered: suspend (RequestRecord, RowCheck) -> FinishResult,
)

/** The result of accepting a request. */
public sealed interface Acceptance {
    /** The request is durable and has to run. */
    public data object Accepted : Acceptance

    /** The request is a resend of the request [first]. */
    public data class Resent(public val first: RequestId) : Acceptance

    /** The request is not durable and never will be, unless the refusal says that it may run. */
    public data class Refused(public val refusal: Refusal) : Acceptance
}

/** The result of recording an outcome. */
public enum class FinishResult {
    /** The outcome is durable. */
    KEPT,

    /** The outcome is queued and is written as soon as the table is reachable. */
    QUEUED,

    /** Another host owns the journal now and decides the outcome of the request. */
    TAKEN_OVER,
}
