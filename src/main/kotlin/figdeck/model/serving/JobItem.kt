package figdeck.model.serving

/**
 * One request of a batch job.
 *
 * @property path where it is posted at an upstream.
 * @property headers the headers that go with it.
 * @property tokens the tokens of its prompt and the most that it may generate.
 */
public data class JobItem(
    public val id: String,
    public val path: String,
    public val headers: Map<String, String>,
    public val body: ByteArray,
    public val tokens: Long,
)
