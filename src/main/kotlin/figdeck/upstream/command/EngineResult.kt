package figdeck.upstream.command

/** How one generation at a model engine ended. */
public sealed interface EngineResult {
    /** The engine finished the answer. */
    public data class Finished(public val finishReason: String) : EngineResult

    /** The engine refused the request and ran nothing. */
    public data class Refused(public val status: Int, public val reason: String) : EngineResult

    /** Nothing reached the engine. */
    public data class NotSent(public val reason: String) : EngineResult

    /** The engine was lost after it got the request; the deltas passed on until then stand. */
    public data class Lost(public val reason: String) : EngineResult
}
