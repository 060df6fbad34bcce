package figdeck.model

import arrow.core.raise.nullable

private const val MAX_SLOTS = 4096
private const val DEFAULT_SLOTS = 8

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

/** Builds an [Upstream]. */
public class UpstreamBuilder internal constructor(private val id: String) {
    /** Where it listens, as `ip:port`. */
    public var address: String = ""

    /** The data centre it stands in. */
    public var dataCentre: String = ""

    /** What it serves: `engine` or `service`. */
    public var kind: String = "engine"

    /** How many requests it runs side by side. */
    public var slots: Int = DEFAULT_SLOTS

    /** Whether it refuses orders with an old fencing number. */
    public var honoursFencing: Boolean = false

    internal fun build(faults: FaultCollector): Upstream? {
        val upstreamId = faults.attempt("id") { UpstreamId(id) }
        val parsedAddress = faults.attempt("address") { parseAddress(address) }
        val parsedCentre = faults.attempt("dataCentre") { DataCentre(dataCentre) }
        val parsedKind = faults.attempt("kind") { parseKind(kind) }
        faults.expect(slots in 1..MAX_SLOTS, "slots", "$slots is out of range: use 1 to $MAX_SLOTS")
        return nullable {
            Upstream(
                id = upstreamId.bind(),
                address = parsedAddress.bind(),
                dataCentre = parsedCentre.bind(),
                kind = parsedKind.bind(),
                slots = slots,
                honoursFencing = honoursFencing,
            )
        }
    }
}

private fun parseKind(text: String): UpstreamKind {
    val kind = UpstreamKind.entries.find { it.name.lowercase() == text }
    return requireNotNull(kind) { "'$text' is not a kind of upstream: use engine or service" }
}
