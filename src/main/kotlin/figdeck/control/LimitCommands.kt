package figdeck.control

import figdeck.command.Step
import figdeck.command.limit.TokenDraw
import figdeck.command.limit.TokenGrant
import figdeck.command.limit.addGrantedTokens
import figdeck.command.limit.grant
import figdeck.command.limit.planPrefetch
import figdeck.command.limit.spendHeldToken
import figdeck.command.ownership.likelyOwners
import figdeck.command.ownership.ownedAt
import figdeck.command.ownership.shardOf
import figdeck.model.Moment
import figdeck.model.Shard
import figdeck.model.Team
import figdeck.model.TeamId

/** Takes one token of [team] from its bucket if this host owns the bucket, or else from a grant. */
internal fun takeToken(state: ControlState, team: Team, now: Moment): Step<ControlState, TokenResult> {
    val draw = TokenDraw(team.id, 1, 0)
    val granted = grantTokens(state, draw, now)
    val ownGrant = granted.result
    return when {
        ownGrant == null -> spendGrant(state, team.id, now)
        ownGrant.granted > 0 -> Step(granted.state, TokenResult.Taken)
        else -> Step(granted.state, TokenResult.Wait(ownGrant.wait))
    }
}

/** Grants tokens for [draw]; null if this host doesn't own the team's bucket at [now] or doesn't know the team. */
internal fun grantTokens(state: ControlState, draw: TokenDraw, now: Moment): Step<ControlState, TokenGrant?> {
    val owned = state.fleet.ownership.ownedAt(teamShard(draw.team), now)
    val limit = state.index.teams[draw.team]?.limit
    if (owned == null || limit == null) {
        return Step(state, null)
    }
    val step = grant(state.fleet.buckets, draw, limit, owned, now)
    return Step(state.copy(fleet = state.fleet.copy(buckets = step.state)), step.result)
}

/** How many tokens to draw for each of [teams], beyond those that requests wait for. */
internal fun planExtras(
    state: ControlState,
    teams: Set<TeamId>,
    now: Moment,
): Step<ControlState, Map<TeamId, Int>> {
    var grants = state.fleet.grants
    val extras = teams.associateWith { team ->
        val step = planPrefetch(grants, team, now)
        grants = step.state
        step.result
    }
    return Step(state.copy(fleet = state.fleet.copy(grants = grants)), extras)
}

/** Stores [count] granted tokens of [team] for future requests. */
internal fun keepTokens(
    state: ControlState,
    team: TeamId,
    count: Int,
    expiresAt: Moment,
    now: Moment,
): Step<ControlState, Unit> {
    val grants = addGrantedTokens(state.fleet.grants, team, count, expiresAt, now)
    return Step(state.copy(fleet = state.fleet.copy(grants = grants)), Unit)
}

/** The shard whose owner holds the bucket of [team]. */
internal fun teamShard(team: TeamId): Shard = shardOf("team", team.value)

private fun spendGrant(state: ControlState, team: TeamId, now: Moment): Step<ControlState, TokenResult> {
    val step = spendHeldToken(state.fleet.grants, team, now)
    val next = state.copy(fleet = state.fleet.copy(grants = step.state))
    val result = if (step.result) {
        TokenResult.Taken
    } else {
        TokenResult.AskOwners(state.fleet.ownership.likelyOwners(teamShard(team)))
    }
    return Step(next, result)
}
