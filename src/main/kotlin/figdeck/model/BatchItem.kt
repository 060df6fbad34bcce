package figdeck.model

/** An item of a batch job that can be run, under the caller's own [customId]. */
public data class BatchItem(
    public val customId: String,
    public val chat: Work.Chat,
)

/** The text that an item ended with. */
public data class ItemResponse(
    public val model: ModelName,
    public val content: String,
    public val finishReason: String,
)

/**
 * The one result of an item.
 *
 * @property customId the caller's name for the item; null where the line doesn't tell it.
 */
public data class ItemResult(
    public val request: RequestId,
    public val customId: String?,
    public val endedAtMillis: Long,
    public val outcome: ItemOutcome,
)

/** How an item ended. */
public sealed interface ItemOutcome {
    /** It ran to its end. */
    public data class Answered(public val answer: ItemResponse) : ItemOutcome

    /** It can't be run, or was lost too often. */
    public data class Failed(public val refusal: Refusal) : ItemOutcome
}
