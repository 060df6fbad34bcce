package figdeck.model

import arrow.core.raise.nullable

/** More slots than any upstream has. */
public const val MAX_SLOTS: Int = 4096
private const val DEFAULT_SLOTS = 8

/** What an upstream serves. */
public enum class UpstreamKind {
    /** A model engine that generates tokens and uses continuous batching. */
    ENGINE,

    /** A plain service. */
    SERVICE,
}

/**
 * A backend to which figdeck sends work.
 *
 * @property slots how many requests it can run concurrently before they slow each other down noticeably.
 * @property honoursFencing whether it refuses requests with an outdated fencing token.
 * @property startedAtMillis when it started, in Unix milliseconds, by its own clock; null if it doesn't say so. An
 * upstream may start again under its id.
 */
public data class Upstream(
    public val id: UpstreamId,
    public val address: Address,
    public val dataCentre: DataCentre,
    public val kind: UpstreamKind,
    public val slots: Int,
    public val honoursFencing: Boolean,
    public val startedAtMillis: Long? = null,
)

/** Builds an [Upstream]. */
public class UpstreamBuilder internal constructor(private val id: String) {
    /** The address on which the upstream listens, as `ip:port`. */
    public var address: String = ""

    /** The data centre in which the upstream is located. */
    public var dataCentre: String = ""

    /** The kind of upstream: `engine` or `service`. */
    public var kind: String = "engine"

    /** How many requests it can run concurrently. */
    public var slots: Int = DEFAULT_SLOTS

    /** Whether it refuses requests with an outdated fencing token. */
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
