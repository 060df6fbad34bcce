package figdeck.model

/** A row of the platform's table. Its [version] increases with each write of the key. */
public data class Row(
    public val key: String,
    public val value: String,
    public val version: Long,
)
