package figdeck.model

/** The outcome of an accepted request. */
public sealed interface Outcome {
    /** A chat turn completed with [content]. */
    public data class ChatAnswered(
        public val content: String,
        public val finishReason: String,
    ) : Outcome

    /** A call to a plain service completed with [status] and [body]. */
    public data class CallAnswered(
        public val status: Int,
        public val contentType: String,
        public val body: String,
    ) : Outcome

    /** The request ended without a response; [refusal] tells whether it may have run. */
    public data class Failed(public val refusal: Refusal) : Outcome
}
