package figdeck.model

/** The work that a request asks for, independent of the protocol by which it arrived. */
public sealed interface Work {
    /** Whether work that may have run can be sent again. */
    public val idempotent: Boolean

    /** A chat turn, or a batch item, for a [model]. */
    public data class Chat(
        public val model: ModelName,
        public val messages: List<Message>,
        public val maxTokens: Int,
        public val stream: Boolean,
    ) : Work {
        override val idempotent: Boolean get() = true
    }

    /** A call to a plain service: [path] below the [route], with the caller's [body]. */
    public data class ServiceCall(
        public val route: RouteName,
        public val method: String,
        public val path: String,
        public val contentType: String,
        public val body: String,
        override val idempotent: Boolean,
    ) : Work
}
