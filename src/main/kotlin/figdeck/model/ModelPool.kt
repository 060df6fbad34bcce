package figdeck.model

private const val MAX_TOKENS = 1_000_000
private const val DEFAULT_MAX_TOKENS = 4096

/** A model and the engines that serve it. Requests for more than [maxTokens] tokens are refused. */
public data class ModelPool(
    public val name: ModelName,
    public val upstreams: List<UpstreamId>,
    public val maxTokens: Int,
)

/** Builds a [ModelPool]. */
public class ModelPoolBuilder internal constructor(private val name: String) {
    /** The engines that serve the model. */
    public var upstreams: List<String> = emptyList()

    /** The maximum number of tokens that a request may ask for. */
    public var maxTokens: Int = DEFAULT_MAX_TOKENS

    internal fun build(faults: FaultCollector): ModelPool? {
        val modelName = faults.attempt("name") { ModelName(name) }
        val ids = upstreamIds(upstreams, faults)
        faults.expect(maxTokens in 1..MAX_TOKENS, "maxTokens", "$maxTokens is out of range: use 1 to $MAX_TOKENS")
        return ModelPool(modelName ?: return null, ids, maxTokens)
    }
}

internal fun upstreamIds(names: List<String>, faults: FaultCollector): List<UpstreamId> {
    faults.expect(names.isNotEmpty(), "upstreams", "the list is empty: name at least one upstream")
    return names.mapIndexedNotNull { i, name -> faults.attempt("upstreams[$i]") { UpstreamId(name) } }
}
