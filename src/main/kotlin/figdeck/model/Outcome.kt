package figdeck.model

/** How an accepted request ended. */
public sealed interface Outcome {
    /** A chat turn ran and answered [content]. */
    public data class ChatAnswered(
        public val content: String,
        public val finishReason: String,
    ) : Outcome

    /** A call of a plain service ran and answered with [status] and [body]. */
    public data class CallAnswered(
        public val status: Int,
        public val contentType: String,
        public val body: String,
    ) : Outcome

    /** It ended without an answer; [refusal] says whether it may have run. */
    public data class Failed(public val refusal: Refusal) : Outcome
}
