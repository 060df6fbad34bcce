package figdeck.upstream.command

/** The result of a generation at a model engine. */
public sealed interface EngineResult {
    /** The engine completed the response. */
    public data class Finished(public val finishReason: String) : EngineResult

    /** The engine refused the request and ran nothing. */
    public data class Refused(public val status: Int, public val reason: String) : EngineResult

    /** The request did not reach the engine. */
    public data class NotSent(public val reason: String) : EngineResult

    /** The engine was lost after it received the request. The deltas passed on before that remain valid. */
    public data class Lost(public val reason: String) : EngineResult
}
