package figdeck.model.serving

import figdeck.model.UpstreamId

/**
 * The report that an upstream was lost before it began its answer to a request.
 *
 * @property request the id of the attempt that was lost.
 * @property suspects the parts of its prompt that may be the cause: those without a recent answer.
 */
public data class CrashReport(
    public val request: String,
    public val upstream: UpstreamId,
    public val suspects: Set<PromptPart>,
)
