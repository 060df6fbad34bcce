package figdeck.command.batch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import figdeck.model.MayHaveRun
import figdeck.model.Refusal

/** How often an item may be lost at engines without one new token before it is taken for the cause. */
public const val MAX_LOSSES: Int = 5

private const val BAD_REQUEST = 400
private const val TOO_LARGE = 413
private const val UNPROCESSABLE = 422

/** How far an item has come: the [text] generated so far, and the [losses] since it last grew. */
public data class ItemProgress(
    public val text: String,
    public val losses: Int,
)

/** How one try at an engine ended. */
public sealed interface TryResult {
    /** The engine finished. */
    public data class Finished(public val reason: String) : TryResult

    /** The engine refused the request with an HTTP [status] and ran nothing. */
    public data class Refused(public val status: Int) : TryResult

    /** Nothing ran: no slot was free, the slot was taken back, or the engine could not be reached. */
    public data object NotRun : TryResult

    /** The engine was lost on the way. */
    public data object Lost : TryResult
}

/** What follows a try. */
public sealed interface ItemStep {
    /** The item has its result: the [text] and finish reason, or why it failed. */
    public data class Ended(
        public val text: String,
        public val outcome: Either<Refusal, String>,
    ) : ItemStep

    /** The item goes on from [progress]. */
    public data class Again(public val progress: ItemProgress) : ItemStep
}

/** Decides what follows a try that left [text] and ended with [result]. */
public fun afterTry(progress: ItemProgress, text: String, result: TryResult): ItemStep = when (result) {
    is TryResult.Finished -> ItemStep.Ended(text, result.reason.right())
    is TryResult.Refused ->
        if (isFaultOfItem(
                result.status
            )
        ) {
            ItemStep.Ended(text, refusedByEngine(result.status))
        } else {
            again(progress, text)
        }
    TryResult.NotRun -> again(progress, text)
    TryResult.Lost -> afterLoss(progress, text)
}

private fun again(progress: ItemProgress, text: String) = ItemStep.Again(progress.copy(text = text))

private fun afterLoss(progress: ItemProgress, text: String): ItemStep {
    val losses = if (text.length > progress.text.length) 1 else progress.losses + 1
    return if (losses < MAX_LOSSES) ItemStep.Again(ItemProgress(text, losses)) else ItemStep.Ended(text, lostTooOften())
}

private fun isFaultOfItem(status: Int): Boolean =
    status == BAD_REQUEST || status == TOO_LARGE || status == UNPROCESSABLE

private fun refusedByEngine(status: Int): Either<Refusal, String> {
    val message = "the engine refused the item with status $status: mend the item and submit it again"
    return Refusal.Recorded("refused_by_engine", message, MayHaveRun.NO).left()
}

private fun lostTooOften(): Either<Refusal, String> {
    val message = "engines were lost $MAX_LOSSES times while they ran the item: check it before submitting it again"
    return Refusal.Recorded("lost_too_often", message, MayHaveRun.UNKNOWN).left()
}
