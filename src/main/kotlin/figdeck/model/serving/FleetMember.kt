package figdeck.model.serving

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.TeamId

/**
 * The announcement of a daemon in the store. Both times are in milliseconds of the store's clock.
 *
 * @property incarnation differs between two starts on the same host.
 * @property joinedAtMillis when this incarnation first announced itself, or did so again after its lease had lapsed.
 * @property renewedAtMillis when it last announced itself.
 * @property cores the processor time that the daemon may use, in cores.
 * @property levels the tokens left in the rate-limit buckets that it owns and that are not full.
 * @property limits the limits that upstreams have advertised, with their ages at [renewedAtMillis].
 */
public data class FleetMember(
    public val host: HostId,
    public val address: Address,
    public val dataCentre: DataCentre,
    public val incarnation: String,
    public val joinedAtMillis: Long,
    public val renewedAtMillis: Long,
    public val cores: Double = 1.0,
    public val levels: Map<TeamId, Int> = emptyMap(),
    public val limits: Map<UpstreamStart, ReportedLimit> = emptyMap(),
)
