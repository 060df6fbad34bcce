package figdeck.model

/** A valid item of a batch job, with the [customId] that the caller chose for it. */
public data class BatchItem(
    public val customId: String,
    public val chat: Work.Chat,
)

/** The response of a model to an item. */
public data class ItemResponse(
    public val model: ModelName,
    public val content: String,
    public val finishReason: String,
)

/**
 * The final result of an item; each item has exactly one.
 *
 * @property customId the caller's id of the item; null if the input line doesn't contain one.
 */
public data class ItemResult(
    public val request: RequestId,
    public val customId: String?,
    public val endedAtMillis: Long,
    public val outcome: ItemOutcome,
)

/** The outcome of an item. */
public sealed interface ItemOutcome {
    /** The item ran to completion. */
    public data class Answered(public val answer: ItemResponse) : ItemOutcome

    /** The item can't be run, or its engines were lost too often. */
    public data class Failed(public val refusal: Refusal) : ItemOutcome
}
