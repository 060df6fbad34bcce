package figdeck.model.serving

/**
 * A request of a batch job.
 *
 * @property path the path at the upstream to which the request is posted.
 * @property headers the headers sent with the request.
 * @property tokens the number of tokens in its prompt plus the maximum number that it may generate.
 */
public data class JobItem(
    public val id: String,
    public val path: String,
    public val headers: Map<String, String>,
    public val body: ByteArray,
    public val tokens: Long,
)
