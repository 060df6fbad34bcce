package figdeck.model.serving

import figdeck.model.Address
import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.TeamId

/**
 * A daemon as it announces itself in the store. Both times are milliseconds of the store's clock.
 *
 * @property incarnation differs between two starts on the same host.
 * @property joinedAtMillis when this incarnation announced itself first.
 * @property renewedAtMillis when it announced itself last.
 * @property cores the processor time that its daemon may use, in cores.
 * @property levels the tokens that were left in the buckets it keeps, where they were not full.
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
)
