package figdeck.command.dispatch

import figdeck.model.DataCentre
import figdeck.model.HostId
import figdeck.model.UpstreamId
import figdeck.model.serving.PoolName
import kotlin.time.Duration

/**
 * What the placement of a request by expected completion depends on besides the request itself.
 *
 * @property host the host that will send the request.
 * @property dataCentre the data centre of [host]; null if it is unknown.
 * @property isOnlyGranter whether no other host grants slots of the pool at present.
 * @property upstreams the upstreams of the pool that are not leaving, each with its start in Unix milliseconds by its
 *   own clock if that is known.
 * @property tokensPerEvent the number of output tokens in one event of a stream.
 * @property coldTime how long an upstream stays slow after its start.
 */
public data class PlacementContext(
    public val pool: PoolName,
    public val host: HostId,
    public val dataCentre: DataCentre?,
    public val isOnlyGranter: Boolean,
    public val upstreams: Map<UpstreamId, Long?>,
    public val tokensPerEvent: Int = 1,
    public val coldTime: Duration = Duration.ZERO,
)
