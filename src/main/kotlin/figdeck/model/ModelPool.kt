package figdeck.model

/** A model and the engines that serve it. Items asking for more than [maxTokens] are impossible. */
public data class ModelPool(
    public val name: ModelName,
    public val upstreams: List<UpstreamId>,
    public val maxTokens: Int,
)
