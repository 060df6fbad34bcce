package figdeck.daemon.query

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import figdeck.control.ControlState
import figdeck.daemon.command.Services
import figdeck.model.Moment
import figdeck.model.Refusal
import figdeck.model.Team
import figdeck.query.RouteAccess
import figdeck.query.accessTo
import figdeck.query.isCurrent
import figdeck.query.teamOf

/** Returns the team of [key]. Refuses a key while this host has no confirmed current configuration. */
internal fun Services.authenticateTeam(key: String?): Either<Refusal, Team> = either {
    val state = control.snapshot
    if (key != null) {
        ensure(state.isCurrent(clock())) { Refusal.StaleConfiguration }
    }
    state.index.teamOf(key).bind()
}

/** Returns the access to [route] that [key] gives at present. A public route needs no key. */
internal fun Services.authorizeRoute(route: String, key: String?): Either<Refusal, RouteAccess> = either {
    val state = control.snapshot
    if (key != null) {
        ensure(state.isCurrent(clock())) { Refusal.StaleConfiguration }
    }
    state.index.accessTo(route, key).bind()
}

/** Whether the configuration of this state is confirmed as the newest, or no host can change it [now]. */
internal fun ControlState.isCurrent(now: Moment): Boolean = isCurrent(confirmedAt, follow.outageAgreedAt, now)
