package figdeck.daemon.command

import arrow.core.Either
import figdeck.model.Intent
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.RequestRecord
import figdeck.model.RowCheck

/**
 * Keeps what was accepted and how it ended.
 *
 * @property accept returns once the acceptance is settled.
 * @property recordIntent returns once the intent to send a call that must not be repeated is durable.
 * @property finish returns once the outcome is durable, or after a bounded wait for that.
 * @property finishRecovered records how a request of a journal that was taken over ended; [RowCheck] fences it.
 */
public data class Journal(
    public val accept: suspend (RequestRecord) -> Acceptance,
    public val recordIntent: suspend (RequestRecord, Intent) -> Either<Refusal, Unit>,
    public val finish: suspend (RequestRecord) -> FinishResult,
    public val finishRecovered: suspend (RequestRecord, RowCheck) -> FinishResult,
)

/** Whether a request was accepted. */
public sealed interface Acceptance {
    /** It is durable and has to run. */
    public data object Accepted : Acceptance

    /** It is a resend of the request [first]. */
    public data class Resent(public val first: RequestId) : Acceptance

    /** It is not durable and never will be, unless the refusal says that it may run. */
    public data class Refused(public val refusal: Refusal) : Acceptance
}

/** What became of the record of an outcome. */
public enum class FinishResult {
    /** It is durable. */
    KEPT,

    /** It is queued and is written as soon as the table can be reached. */
    QUEUED,

    /** Another host owns the journal now and decides the outcome. */
    TAKEN_OVER,
}
