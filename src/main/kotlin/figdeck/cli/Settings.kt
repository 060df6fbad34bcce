package figdeck.cli

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.Region

/**
 * What a daemon knows from its flags and environment variables.
 *
 * @property traceEndpoint where spans are exported to; null for nowhere.
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
 * @property peer what daemons show each other.
 * @property operator what operators show a daemon.
 * @property upstream what the daemon shows upstreams.
 */
public data class Credentials(
    public val peer: String,
    public val operator: String,
    public val upstream: String,
) {
    override fun toString(): String = "Credentials(hidden)"
}
