package figdeck.cli

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region

/**
 * The settings of a daemon, from its flags and environment variables.
 *
 * @property traceEndpoint the URL that spans are exported to; null to export none.
 */
public data class Settings(
    public val host: HostId,
    public val dataCentre: DataCentre,
    public val region: Region,
    public val callerAddress: Address,
    public val peerAddress: Address,
    public val operatorAddress: Address,
    public val platformAddress: Address,
    public val credentials: Credentials,
    public val traceEndpoint: String?,
)

/**
 * The secrets of a daemon.
 *
 * @property peer the secret that daemons send each other.
 * @property operator the secret that operators send to a daemon.
 * @property upstream the secret that the daemon sends to upstreams.
 */
public data class Credentials(
    public val peer: String,
    public val operator: String,
    public val upstream: String,
) {
    override fun toString(): String = "Credentials(hidden)"
}
