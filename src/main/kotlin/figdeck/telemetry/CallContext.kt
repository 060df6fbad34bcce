package figdeck.telemetry

import figdeck.model.TeamId
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.coroutineContext

/** What becomes known of a call while it is handled, for whoever observes it. */
internal class CallContext : AbstractCoroutineContextElement(CallContext) {
    @Volatile
    var team: TeamId? = null

    companion object Key : CoroutineContext.Key<CallContext>
}

/** Notes that the running call is [team]'s. */
internal suspend fun recordTeam(team: TeamId?) {
    coroutineContext[CallContext]?.team = team
}
