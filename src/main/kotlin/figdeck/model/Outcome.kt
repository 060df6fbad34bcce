package figdeck.model

/** How an accepted request ended. */
public sealed interface Outcome {
    /** It ran and answered with [status] and [body]. */
    public data class Completed(
        public val status: Int,
        public val contentType: String,
        public val body: String,
    ) : Outcome

    /** It ended without an answer; [refusal] says whether it may have run. */
    public data class Failed(public val refusal: Refusal) : Outcome
}
