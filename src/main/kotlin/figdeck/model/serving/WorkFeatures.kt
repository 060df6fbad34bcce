package figdeck.model.serving

import kotlin.time.Duration

/**
 * What a generation tells about its work before it runs.
 *
 * @property route the name of its route.
 * @property promptTokens the length of its prompt.
 * @property sharedTokens the part of the prompt, from its beginning, that other requests may share.
 * @property maxOutputTokens the maximum length of its output.
 * @property hintedOutputTokens the caller's estimate of the length of its output; null if there is none.
 */
public data class WorkFeatures(
    public val route: String,
    public val promptTokens: Int,
    public val sharedTokens: Int,
    public val maxOutputTokens: Int,
    public val hintedOutputTokens: Int? = null,
)

/**
 * What the holder of a slot has seen of the work in it.
 *
 * @property outputTokens the tokens that the upstream generated in this slot.
 * @property timeToFirstEvent the time from the send to the first event; null if none came.
 * @property streamingTime the time from the first event to the last one.
 * @property isWhole whether the output was generated from its beginning to its end in this slot.
 */
public data class SlotUsage(
    public val outputTokens: Int,
    public val timeToFirstEvent: Duration?,
    public val streamingTime: Duration,
    public val isWhole: Boolean,
)
