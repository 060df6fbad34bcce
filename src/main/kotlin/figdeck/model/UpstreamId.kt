package figdeck.model

/** Identifies an upstream: a model engine or a plain service. At most [MAX_ID_LENGTH] characters. */
@JvmInline
public value class UpstreamId(public val value: String) {
    init {
        requireId("upstream", value)
    }

    override fun toString(): String = value
}
