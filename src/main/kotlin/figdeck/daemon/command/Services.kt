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
 * Whether a team may start one more request.
 *
 * @property take takes one token of the team's fleet-wide limit.
 */
public data class Limits(public val take: suspend (Team) -> Either<Refusal, Unit>)

/**
 * What serving a request needs, each part to be replaced by itself.
 *
 * @property work where accepted work goes on, whether or not its caller stays.
 */
public data class Services(
    public val control: Control<ControlState>,
    public val clock: Clock,
    public val newRequestId: () -> RequestId,
    public val limits: Limits,
    public val journal: Journal,
    public val records: RequestRecords,
    public val work: CoroutineScope,
    public val ownership: Ownership,
    public val dispatcher: Dispatcher,
    public val upstreams: UpstreamCommands,
)
