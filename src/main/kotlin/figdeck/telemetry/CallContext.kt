package figdeck.telemetry

import figdeck.model.TeamId
import kotlin.coroutines.AbstractCoroutineContextElement
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.coroutineContext

/** Collects the facts about a call that are found while it is handled, for its metrics. */
internal class CallContext : AbstractCoroutineContextElement(CallContext) {
    @Volatile
    var team: TeamId? = null

    companion object Key : CoroutineContext.Key<CallContext>
}

/** Records [team] as the team of the running call. */
internal suspend fun recordTeam(team: TeamId?) {
    coroutineContext[CallContext]?.team = team
}
