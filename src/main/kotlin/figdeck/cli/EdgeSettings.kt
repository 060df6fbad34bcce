package figdeck.cli

import arrow.core.Either
import arrow.core.raise.nullable
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Fault
import figdeck.model.FaultCollector
import figdeck.model.HostId
import figdeck.model.Region
import figdeck.model.parseAddress
import figdeck.wire.lenientJson
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The unparsed settings of a daemon on the users' platform. */
internal data class RawEdgeSettings(
    val host: String,
    val dataCentre: String,
    val callerAddress: String,
    val readinessAddress: String,
    val peerAddress: String,
    val storeAddress: String,
    val metricsPort: String,
    val graceSeconds: String,
    val fleetName: String,
    val seeds: String,
    val cores: String,
    val region: String = "",
    val dataCentreRegions: String = "",
    val placement: String = Placement.FREE_SLOTS.label,
    val resultRetentionSeconds: String = "",
)

/** How an upstream is chosen for a request. */
public enum class Placement(internal val label: String) {
    /** One with the most free slots. */
    FREE_SLOTS("free-slots"),

    /** The one that is expected to complete the request first, where the upstreams of a pool differ in pace. */
    EXPECTED_COMPLETION("expected-completion"),
}

/**
 * The settings of a daemon on the users' platform, from its flags and environment variables.
 *
 * @property terminationGrace how long after the request to stop the platform kills the process.
 * @property seeds the peer addresses of possible other daemons. Each may be outdated.
 * @property cores the CPU limit of this daemon, in cores.
 * @property region the region of this host; null if the settings name none.
 * @property regions the region of each data centre, as far as the settings name it.
 * @property resultRetention how long after its submission callers may ask for a batch job; null to keep all jobs.
 * @property fleetName the bearer token between daemons of one fleet. A daemon rejects requests from other fleets.
 */
public data class EdgeSettings(
    public val host: HostId,
    public val dataCentre: DataCentre,
    public val callerAddress: Address,
    public val readinessAddress: Address,
    public val peerAddress: Address,
    public val storeAddress: Address,
    public val metricsPort: Int,
    public val terminationGrace: Duration,
    public val fleetName: String,
    public val seeds: List<Address>,
    public val cores: Double,
    public val region: Region? = null,
    public val regions: Map<DataCentre, Region> = emptyMap(),
    public val placement: Placement = Placement.FREE_SLOTS,
    public val resultRetention: Duration? = null,
)

/** The regions of data centres. The region of this host is also that of its data centre if the table lacks it. */
internal fun EdgeSettings.knownRegions(): Map<DataCentre, Region> =
    region?.let { mapOf(dataCentre to it) }.orEmpty() + regions

/** Validates every setting. Returns either the settings or all faults, each with the flag that it belongs to. */
internal fun RawEdgeSettings.validate(): Either<List<Fault>, EdgeSettings> {
    val faults = FaultCollector("")
    val hostId = faults.attempt("--host") { HostId(host) }
    val centre = faults.attempt("--data-centre") { DataCentre(dataCentre) }
    val caller = faults.attempt("--caller-address") { parseAddress(callerAddress) }
    val readiness = faults.attempt("--readiness-address") { parseAddress(readinessAddress) }
    val peer = faults.attempt("--peer-address") { parseAddress(peerAddress) }
    val store = faults.attempt("--store-address") { parseAddress(storeAddress) }
    val port = metricsPort.toIntOrNull()
    faults.expect(port != null, "--metrics-port", "'$metricsPort' is not a port: write a number")
    val terminationGrace = graceSeconds.toDoubleOrNull()
    faults.expect(
        terminationGrace != null && terminationGrace > 0,
        "--grace-seconds",
        "'$graceSeconds' is no time: write seconds above 0",
    )
    val coreCount = cores.toDoubleOrNull()
    faults.expect(coreCount != null && coreCount > 0, "--cores", "'$cores' is no number of cores: write one above 0")
    val seedAddresses = faults.attempt("--seeds") {
        seeds.split(',').map { it.trim() }.filter { it.isNotEmpty() }.map { parseAddress(it) }
    }
    val ownRegion = region.ifSubstituted()?.let { faults.attempt("--region") { Region(it) } }
    val regions = faults.attempt("--data-centre-regions") { parseRegions(dataCentreRegions.ifSubstituted()) }
    val choice = Placement.entries.find { it.label == placement }
    faults.expect(
        choice != null,
        "--placement",
        "'$placement' is no placement: write one of ${Placement.entries.joinToString { it.label }}",
    )
    val retention = parseRetention(resultRetentionSeconds.ifSubstituted(), faults)
    return faults.result {
        nullable {
            EdgeSettings(
                host = hostId.bind(),
                dataCentre = centre.bind(),
                callerAddress = caller.bind(),
                readinessAddress = readiness.bind(),
                peerAddress = peer.bind(),
                storeAddress = store.bind(),
                metricsPort = port.bind(),
                terminationGrace = terminationGrace.bind().seconds,
                fleetName = fleetName,
                seeds = seedAddresses.bind(),
                cores = coreCount.bind(),
                region = ownRegion,
                regions = regions.bind(),
                placement = choice.bind(),
                resultRetention = retention,
            )
        }
    }
}

/** This value, or null if it is empty or a placeholder. A platform without regions leaves `{{Region}}` in place. */
private fun String.ifSubstituted(): String? = takeUnless { it.isBlank() || it.startsWith("{{") }

/** Parses the seconds for which results are kept. Without a text, they are kept for good. */
private fun parseRetention(text: String?, faults: FaultCollector): Duration? {
    val seconds = text?.toDoubleOrNull()
    faults.expect(
        text == null || (seconds != null && seconds > 0),
        "--result-retention-seconds",
        "'$text' is no time: write seconds above 0, or nothing to keep all jobs",
    )
    return seconds?.seconds
}

/** Parses a JSON object from data centre to region. Without a text, no region is known. */
private fun parseRegions(text: String?): Map<DataCentre, Region> = if (text == null) {
    emptyMap()
} else {
    lenientJson.decodeFromString<Map<String, String>>(text)
        .map { (centre, region) -> DataCentre(centre) to Region(region) }
        .toMap()
}
