package figdeck.model

/** What a request asks for, apart from how it arrived. */
public sealed interface Work {
    /** Whether it may be sent again after an uncertain loss. */
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

    /** A call of a plain service: [path] below the [route], with the caller's [body]. */
    public data class ServiceCall(
        public val route: RouteName,
        public val method: String,
        public val path: String,
        public val contentType: String,
        public val body: String,
        override val idempotent: Boolean,
    ) : Work
}
