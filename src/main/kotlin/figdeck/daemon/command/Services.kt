package figdeck.daemon.command

import arrow.core.Either
import figdeck.control.Control
import figdeck.control.ControlState
import figdeck.daemon.query.RequestRecords
import figdeck.model.Clock
import figdeck.model.Refusal
import figdeck.model.RequestId
import figdeck.model.Team
import figdeck.upstream.command.UpstreamCommands
import kotlinx.coroutines.CoroutineScope

/**
 * Decides whether a team may start another request.
 *
 * @property take takes one token from the fleet-wide limit of the team.
 */
public data class RateLimiter(public val take: suspend (Team) -> Either<Refusal, Unit>)

/**
 * The dependencies for serving requests. Each can be replaced on its own.
 *
 * @property work the scope in which accepted work runs, even after its caller disconnects.
 */
public data class Services(
    public val control: Control<ControlState>,
    public val clock: Clock,
    public val newRequestId: () -> RequestId,
    public val limits: RateLimiter,
    public val journal: Journal,
    public val records: RequestRecords,
    public val work: CoroutineScope,
    public val ownership: Ownership,
    public val dispatcher: Dispatcher,
    public val upstreams: UpstreamCommands,
)
