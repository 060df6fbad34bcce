package figdeck.cli

import arrow.core.Either
import arrow.core.raise.nullable
import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.Fault
import figdeck.model.FaultCollector
import figdeck.model.HostId
import figdeck.model.parseAddress
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
)

/**
 * The settings of a daemon on the users' platform, from its flags and environment variables.
 *
 * @property terminationGrace how long after the request to stop the platform kills the process.
 * @property seeds the peer addresses of possible other daemons. Each may be outdated.
 * @property cores the CPU limit of this daemon, in cores.
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
)

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
            )
        }
    }
}
