package figdeck.model

/** What an upstream serves. */
public enum class UpstreamKind {
    /** A model engine that generates tokens and batches continuously. */
    ENGINE,

    /** A plain service. */
    SERVICE,
}

/**
 * A back end that figdeck sends work to.
 *
 * @property slots how many requests it runs side by side before they slow each other noticeably.
 * @property honoursFencing whether it refuses an order whose fencing number is old.
 */
public data class Upstream(
    public val id: UpstreamId,
    public val address: Address,
    public val dataCentre: DataCentre,
    public val kind: UpstreamKind,
    public val slots: Int,
    public val honoursFencing: Boolean,
)
