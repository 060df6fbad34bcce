package figdeck.command.batch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.MayHaveRun
import figdeck.model.Refusal

/** The number of engine losses in a row, without one new token, after which the item is assumed to be the cause. */
public const val MAX_LOSSES: Int = 5

private const val BAD_REQUEST = 400
private const val TOO_LARGE = 413
private const val UNPROCESSABLE = 422

/** An item's progress: the [text] generated so far, and the number of engine [losses] since the text last grew. */
public data class ItemProgress(
    public val text: String,
    public val losses: Int,
)

/** The result of one attempt to run an item on an engine. */
public sealed interface AttemptResult {
    /** The engine finished. */
    public data class Finished(public val reason: String) : AttemptResult

    /** The engine refused the request with an HTTP [status] and ran nothing. */
    public data class Refused(public val status: Int) : AttemptResult

    /** Nothing ran: no slot was free, the slot was revoked, or the engine could not be reached. */
    public data object NotRun : AttemptResult

    /** The connection to the engine was lost while it ran the item. */
    public data object Lost : AttemptResult
}

/** The next step for an item after an attempt. */
public sealed interface ItemStep {
    /** The item has its final result: the [text] with a finish reason, or why it failed. */
    public data class Ended(
        public val text: String,
        public val outcome: Either<Refusal, String>,
    ) : ItemStep

    /** The item runs again and resumes from [progress]. */
    public data class Retry(public val progress: ItemProgress) : ItemStep
}

/** Decides what follows an attempt that produced [text] and ended with [result]. */
public fun afterAttempt(progress: ItemProgress, text: String, result: AttemptResult): ItemStep = when (result) {
    is AttemptResult.Finished -> ItemStep.Ended(text, result.reason.right())
    is AttemptResult.Refused ->
        if (isItemError(result.status)) {
            ItemStep.Ended(text, refusedByEngine(result.status))
        } else {
            retry(progress, text)
        }
    AttemptResult.NotRun -> retry(progress, text)
    AttemptResult.Lost -> afterLoss(progress, text)
}

private fun retry(progress: ItemProgress, text: String) = ItemStep.Retry(progress.copy(text = text))

private fun afterLoss(progress: ItemProgress, text: String): ItemStep {
    val losses = if (text.length > progress.text.length) 1 else progress.losses + 1
    return if (losses < MAX_LOSSES) ItemStep.Retry(ItemProgress(text, losses)) else ItemStep.Ended(text, lostTooOften())
}

private fun isItemError(status: Int): Boolean =
    status == BAD_REQUEST || status == TOO_LARGE || status == UNPROCESSABLE

private fun refusedByEngine(status: Int): Either<Refusal, String> {
    val message = "the engine refused the item with status $status: mend the item and submit it again"
    return Refusal.Recorded("refused_by_engine", message, MayHaveRun.NO).left()
}

private fun lostTooOften(): Either<Refusal, String> {
    val message = "engines were lost $MAX_LOSSES times while they ran the item: check it before submitting it again"
    return Refusal.Recorded("lost_too_often", message, MayHaveRun.UNKNOWN).left()
}
